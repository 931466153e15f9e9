// Process: one process of the program. This file owns its start, its signals, its end and what it used. It ends only what it
// started, and what it started ends with the rig, however that ends.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// starts run on one thread that never ends: the kernel tells children of the end of the thread that started them.
var starts = sync.OnceValue(func() chan func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range queue {
			f()
		}
	}()
	return queue
})

// process is one of them.
type process struct {
	*exec.Cmd
	name    string
	log     string // file
	console string
	ended   chan struct{}
	err     error
	want    bool // its end is wanted
	used    Usage
}

// Usage is what a process used.
type Usage struct {
	Name        string
	PeakKB      int
	CPUms       float64
	Descriptors int
	Exit        string // "" while it runs
}

// run starts the program with a start file and a folder that outlasts it.
func (r *Rig) run(program, name, config, dir, console string) (*process, error) {
	log := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{Cmd: exec.Command(program, "serve"), name: name, log: log, console: console, ended: make(chan struct{})}
	p.Env = append(os.Environ(), "RELAY_CONFIG="+config, "TMPDIR="+dir, "RELAY_CONSOLE="+console)
	p.Env = append(p.Env, r.Env...)
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	begun := make(chan error)
	starts() <- func() { begun <- p.Start() }
	if err := <-begun; err != nil {
		return nil, r.plain(err)
	}
	go func() {
		p.err = p.Wait()
		if s := p.ProcessState; s != nil {
			p.used.CPUms = float64(s.UserTime()+s.SystemTime()) / 1e6
			p.used.Exit = s.String()
		}
		close(p.ended)
	}()
	return p, nil
}

// get asks one address until it says yes, or the process ends, or time is over.
func (p *process) get(url string, within time.Duration) error {
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	last := errors.New("not asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		got, err := web.Get(url)
		if err == nil {
			got.Body.Close()
			if got.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(got.Status)
		}
		last = err
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended at its start (%s): %s", p.name, p.used.Exit, p.tail())
		default:
		}
	}
	return fmt.Errorf("%s: no yes at %s within %s: %w", p.name, url, within, last)
}

// tail is the end of its log.
func (p *process) tail() string {
	text, _ := os.ReadFile(p.log)
	return string(bytes.TrimSpace(text[max(0, len(text)-600):]))
}

// wait waits for its end.
func (p *process) wait(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// measure reads what it uses now.
func (p *process) measure() {
	dir := fmt.Sprintf("/proc/%d/", p.Process.Pid)
	p.used.Name = p.name
	status, _ := os.ReadFile(dir + "status")
	if m := regexp.MustCompile(`VmHWM:\s+(\d+)`).FindSubmatch(status); m != nil {
		p.used.PeakKB, _ = strconv.Atoi(string(m[1]))
	}
	if fds, err := os.ReadDir(dir + "fd"); err == nil {
		p.used.Descriptors = len(fds)
	}
}

// trouble is what in its log or its end fails a rehearsal.
func (p *process) trouble() error {
	text, _ := os.ReadFile(p.log)
	for _, mark := range []string{"WARNING: DATA RACE", `"msg":"panic`, "panic: ", "fatal error: "} {
		if at := bytes.Index(text, []byte(mark)); at >= 0 {
			return fmt.Errorf("%s: %s", p.name, text[at:min(len(text), at+1500)])
		}
	}
	select {
	case <-p.ended:
		if !p.want {
			return fmt.Errorf("%s ended by itself (%s): %s", p.name, p.used.Exit, p.tail())
		}
	default:
	}
	return nil
}

// config writes a sidecar's start file.
func (r *Rig) config(n int, path string) error {
	zone := r.s.SidecarNodes()[n].Zone
	known, _ := r.lists.since(n, -1)
	discovery := r.block.at(rowList, n)
	if r.lists.hasMoved(n) {
		discovery = r.block.at(rowListMoved, n)
	} else if r.links.list[n] != nil {
		discovery = r.links.list[n].Addr()
	}
	text, err := json.MarshalIndent(scenario.StartFile(r.s, n, zone, r.block.at(rowSidecar, n), discovery, known), "", " ")
	if err != nil {
		return err
	}
	next, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)) // of its own: two new configurations may come at once
	if err != nil {
		return err
	}
	_, err = next.Write(text)
	if err = errors.Join(err, next.Close()); err != nil {
		return err
	}
	return os.Rename(next.Name(), path) // a process may read it just now
}

// call asks a console something by hand, again as long as it is told to, and returns when it said yes.
func call(console, path string, within time.Duration) error {
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	last := errors.New("not asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		got, err := web.Post("http://"+console+path, "", nil)
		if err == nil {
			var body bytes.Buffer
			body.ReadFrom(got.Body)
			got.Body.Close()
			if got.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", got.Status, strings.TrimSpace(body.String()))
		}
		last = err
	}
	return last
}

// sidecarAt finds whose list address was asked.
func (r *Rig) sidecarAt(host, at string) int {
	for n := range r.s.Fleet.Sidecars {
		if asked := net.JoinHostPort(host, at); r.block.at(rowList, n) == asked || r.block.at(rowListMoved, n) == asked {
			return n
		}
	}
	return -1
}
