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
var launcher = sync.OnceValue(func() chan func() {
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
	name        string
	logPath     string // file
	console     string
	ended       chan struct{}
	waitErr     error
	endExpected bool // its end is wanted
	usage       Usage
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
func (r *Rig) startProcess(program, name, config, dir, console string) (*process, error) {
	logPath := filepath.Join(dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p := &process{Cmd: exec.Command(program, "serve"), name: name, logPath: logPath, console: console, ended: make(chan struct{})}
	p.Env = append(os.Environ(), "RELAY_CONFIG="+config, "TMPDIR="+dir, "RELAY_CONSOLE="+console)
	p.Env = append(p.Env, r.Env...)
	p.Stdout, p.Stderr = logFile, logFile
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	launcher() <- func() { started <- p.Start() }
	if err := <-started; err != nil {
		return nil, r.explainLimit(err)
	}
	go func() {
		p.waitErr = p.Wait()
		if s := p.ProcessState; s != nil {
			p.usage.CPUms = float64(s.UserTime()+s.SystemTime()) / 1e6
			p.usage.Exit = s.String()
		}
		close(p.ended)
	}()
	return p, nil
}

// get asks one address until it says yes, or the process ends, or time is over.
func (p *process) waitForOK(url string, within time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	lastErr := errors.New("not asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(response.Status)
		}
		lastErr = err
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended at its start (%s): %s", p.name, p.usage.Exit, p.logTail())
		default:
		}
	}
	return fmt.Errorf("%s: no yes at %s within %s: %w", p.name, url, within, lastErr)
}

// tail is the end of its log.
func (p *process) logTail() string {
	text, _ := os.ReadFile(p.logPath)
	return string(bytes.TrimSpace(text[max(0, len(text)-600):]))
}

// wait waits for its end.
func (p *process) endsWithin(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// measure reads what it uses now.
func (p *process) measureUsage() {
	dir := fmt.Sprintf("/proc/%d/", p.Process.Pid)
	p.usage.Name = p.name
	status, _ := os.ReadFile(dir + "status")
	if m := regexp.MustCompile(`VmHWM:\s+(\d+)`).FindSubmatch(status); m != nil {
		p.usage.PeakKB, _ = strconv.Atoi(string(m[1]))
	}
	if fds, err := os.ReadDir(dir + "fd"); err == nil {
		p.usage.Descriptors = len(fds)
	}
}

// trouble is what in its log or its end fails a rehearsal.
func (p *process) failure() error {
	text, _ := os.ReadFile(p.logPath)
	for _, mark := range []string{"WARNING: DATA RACE", `"msg":"panic`, "panic: ", "fatal error: "} {
		if at := bytes.Index(text, []byte(mark)); at >= 0 {
			return fmt.Errorf("%s: %s", p.name, text[at:min(len(text), at+1500)])
		}
	}
	select {
	case <-p.ended:
		if !p.endExpected {
			return fmt.Errorf("%s ended by itself (%s): %s", p.name, p.usage.Exit, p.logTail())
		}
	default:
	}
	return nil
}

// config writes a sidecar's start file.
func (r *Rig) writeConfig(n int, path string) error {
	zone := r.scenario.SidecarNodes()[n].Zone
	known, _ := r.listServer.changesSince(n, -1)
	discovery := r.addrs.addr(rowList, n)
	if r.listServer.usesMovedAddr(n) {
		discovery = r.addrs.addr(rowListMoved, n)
	} else if r.links.list[n] != nil {
		discovery = r.links.list[n].Addr()
	}
	text, err := json.MarshalIndent(scenario.StartFile(r.scenario, n, zone, r.addrs.addr(rowSidecar, n), discovery, known), "", " ")
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)) // of its own: two new configurations may come at once
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), path) // a process may read it just now
}

// call asks a console something by hand, again as long as it is told to, and returns when it said yes.
func callConsole(console, path string, within time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	lastErr := errors.New("not asked")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Post("http://"+console+path, "", nil)
		if err == nil {
			var body bytes.Buffer
			body.ReadFrom(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(body.String()))
		}
		lastErr = err
	}
	return lastErr
}

// sidecarAt finds whose list address was asked.
func (r *Rig) sidecarByListAddr(host, port string) int {
	for n := range r.scenario.Fleet.Sidecars {
		if addr := net.JoinHostPort(host, port); r.addrs.addr(rowList, n) == addr || r.addrs.addr(rowListMoved, n) == addr {
			return n
		}
	}
	return -1
}
