// Sidecar processes: their start, start files, health checks, resource usage and end. The rig ends only processes that it
// started, and the kernel kills these if the rig itself ends in any way (Pdeathsig).

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

// launcher returns a queue of functions that run on one OS thread, which never ends. Processes are started there, since
// the kernel sends Pdeathsig when the thread that started the process ends, not when the whole parent process does.
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

// process is one process of a sidecar. A sidecar has two during an upgrade.
type process struct {
	*exec.Cmd
	name        string
	logPath     string        // file with its output
	console     string        // address
	ended       chan struct{} // closed when it has ended
	waitErr     error         // of Wait; valid when ended is closed
	endExpected bool          // the rig ends it, so that its end is no failure
	usage       Usage
}

// Usage is the resource usage of a process.
type Usage struct {
	Name        string
	PeakKB      int     // peak resident memory
	CPUms       float64 // processor time, user and system
	Descriptors int     // open at the end of the traffic
	Exit        string  // exit status or signal; empty while it runs
}

// startProcess starts the program with a start file and a directory that outlives the process, for its log and temporary
// files.
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

// waitForOK requests a URL until the answer is 200, the process ends or the time is over.
func (p *process) waitForOK(url string, within time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	lastErr := errors.New("no request sent")
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
	return fmt.Errorf("%s: no status 200 from %s within %s: %w", p.name, url, within, lastErr)
}

// logTail returns the last 600 bytes of the process's log.
func (p *process) logTail() string {
	text, _ := os.ReadFile(p.logPath)
	return string(bytes.TrimSpace(text[max(0, len(text)-600):]))
}

// endsWithin waits for the end of the process and reports whether it came within the given time.
func (p *process) endsWithin(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// measureUsage records the memory and file descriptors of the running process.
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

// failure returns an error if the process's log shows a panic, a fatal error or a data race, or if the process ended
// unexpectedly.
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
			return fmt.Errorf("%s ended unexpectedly (%s): %s", p.name, p.usage.Exit, p.logTail())
		}
	default:
	}
	return nil
}

// writeConfig writes a sidecar's start file, with the present list and address of discovery.
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
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)) // unique, as two configurations may be written at once
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), path) // atomic, since a process may be reading the old one
}

// callConsole sends an operator's command to a console. It repeats the command until the answer is 200 or the time is
// over.
func callConsole(console, path string, within time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	lastErr := errors.New("no request sent")
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

// sidecarByListAddr returns the sidecar that calls discovery at an address, -1 if there is none.
func (r *Rig) sidecarByListAddr(host, port string) int {
	for n := range r.scenario.Fleet.Sidecars {
		if addr := net.JoinHostPort(host, port); r.addrs.addr(rowList, n) == addr || r.addrs.addr(rowListMoved, n) == addr {
			return n
		}
	}
	return -1
}
