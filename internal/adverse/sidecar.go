package adverse

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Limits are the limits of a sidecar.
type Limits struct {
	MemoryMB, Sockets int
}

// Settings are the settings that differ from world to world. The zero value is the usual deployment.
type Settings struct {
	NoCancel       bool
	NoSecondCopies bool
	KeyMemory      time.Duration // for which repeats of KeyedClass are dropped; 0 for usualKeyMemory
	KeyScope       string        // of endpoints that drop them; "" for all
}

const usualKeyMemory = 10 * time.Second

// The classes of the deployment: one for each effect of a repeat, and one that may run in a single zone only.
const (
	SafeClass   = "view-gallery"
	KeyedClass  = "save-selection"
	UnsafeClass = "order-prints"
	ZonedClass  = "view-local"
)

// homeZone is the zone of the sidecar and of the endpoints at the start.
const homeZone = "rennes-1"

// World is a sidecar with its discovery and endpoints.
type World struct {
	Program   string // path of the sidecar's executable
	Listen    string // address for clients
	Discovery *Discovery
	Endpoints []*Endpoint
	dir       string
	log       *runLog
	config    string
	limits    Limits
	settings  Settings

	mu        sync.Mutex
	processes []*Process
}

// NewWorld starts discovery and endpoints, and writes the start file of a sidecar into dir.
func NewWorld(program, dir string, endpoints int, limits Limits, settings Settings) (*World, error) {
	settings.KeyMemory, settings.KeyScope = cmp.Or(settings.KeyMemory, usualKeyMemory), cmp.Or(settings.KeyScope, "all")
	w := &World{Program: program, dir: dir, limits: limits, settings: settings, Listen: freeAddr(),
		log: &runLog{runs: map[string][]Run{}, attempts: map[string]int{}}}
	var entries []Listing
	for n := range endpoints {
		e, err := newEndpoint(fmt.Sprintf("s-%d", n), "127.0.0.1:0", w.log)
		if err != nil {
			return nil, err
		}
		w.Endpoints = append(w.Endpoints, e)
		entries = append(entries, Listing{ID: e.ID, Addr: e.Addr(), Zone: homeZone, Kind: "small-fast", Cell: n, State: inService, Weight: 1})
	}
	var err error
	if w.Discovery, err = newDiscovery(entries); err != nil {
		return nil, err
	}
	w.config = filepath.Join(dir, "start.json")
	return w, w.writeStartFile(entries)
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer listener.Close()
	return listener.Addr().String()
}

// writeStartFile writes the start file with the settings of the deployment.
func (w *World) writeStartFile(entries []Listing) error {
	class := func(name, effect string, expectedMs float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "expected-time": expectedMs, "abandon-time": 2000.0, "value": 1.0, "overdue-value": 0.25,
			"dedup-scope": w.settings.KeyScope, "key-ttl": float64(w.settings.KeyMemory.Milliseconds()), "streaming": false}
	}
	zoned := class(ZonedClass, "retryable", 500)
	zoned["runs-in"] = []string{homeZone}
	settings := map[string]any{
		"allowed": map[string]any{"connect-timeout": 250.0, "idle-close": 15000.0, "max-legs": 4, "max-retry-after": 2000.0, "may-cancel": !w.settings.NoCancel,
			"multiplex": 1, "peers": false, "probes": true, "retry-after": true, "second-copies": !w.settings.NoSecondCopies},
		"fleet-size": 3, "family": "mesh", "layer": 0, "locality": homeZone, "me": 0, "registry-mode": "on_request", "tick": 5.0,
		"guarantees": map[string]any{"ask-within": 10000.0, "cold": 24000.0, "cold-from": 0.12, "drain-grace": 500.0, "fall": 1000.0,
			"fall-multiple": 3.0, "grace-to-answer": 20.0},
		"kinds": []string{"small-fast", "double-std"}, "zones": []string{homeZone, "rennes-2"}, "tenants": []any{}, "tiers": []string{"gallery-servers"},
		"value-by": "request", "weight-kind": "nominal", "report": map[string]any{"columns": []string{}, "how": "silent"},
		"products": []any{class(SafeClass, "retryable", 500), class(KeyedClass, "dedup", 1000), class(UnsafeClass, "fragile", 1000), zoned},
	}
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": w.Listen, "discovery": w.Discovery.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": w.limits.MemoryMB, "sockets": w.limits.Sockets},
		"known":  listMessage{Version: 1, Full: true, Servers: entries}, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(w.config, text, 0o600)
}

// Runs returns the runs of a request at the endpoints.
func (w *World) Runs(request string) []Run { return w.log.of(request) }

// Process is one process of the sidecar.
type Process struct {
	command *exec.Cmd
	console string
	ended   chan struct{}
}

// StartProcess starts a process of the sidecar. A second one begins an upgrade.
func (w *World) StartProcess() (*Process, error) {
	p := &Process{command: exec.Command(w.Program, "serve"), console: freeAddr(), ended: make(chan struct{})}
	tmp := filepath.Join(w.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	p.command.Env = append(os.Environ(), "RELAY_CONFIG="+w.config, "RELAY_CONSOLE="+p.console, "TMPDIR="+tmp)
	w.mu.Lock()
	defer w.mu.Unlock()
	log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("sidecar-%d.log", len(w.processes))))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.command.Wait()
		close(p.ended)
	}()
	w.processes = append(w.processes, p)
	return p, nil
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		p.command.Process.Signal(signal)
	}
}

// AwaitReady waits until the process passes its health check.
func (p *Process) AwaitReady() error {
	const limit = 10 * time.Second
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until) && p.Running(); time.Sleep(10 * time.Millisecond) {
		got, err := client.Get("http://" + p.console + "/healthcheck")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, got.Body)
		got.Body.Close()
		if got.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the sidecar at console %s did not become ready", p.console)
}

// Close ends all processes and endpoints.
func (w *World) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		p.Signal(syscall.SIGKILL)
		<-p.ended
	}
	for _, e := range w.Endpoints {
		e.listener.Close()
	}
}

// memoryBytes returns what counts against the memory limit: the resident memory of all processes and the files in $TMPDIR.
func (w *World) memoryBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := folderBytes(filepath.Join(w.dir, "tmp"))
	for _, p := range w.processes {
		if p.Running() {
			total += residentBytes(p.command.Process.Pid)
		}
	}
	return total
}

// memorySampleInterval is the time between two looks at the memory.
const memorySampleInterval = 10 * time.Millisecond

// WatchMemory samples the memory until stop is called, which returns the peak in bytes.
func (w *World) WatchMemory() (stop func() int64) {
	done, peak := make(chan struct{}), make(chan int64, 1)
	go func() {
		highest := int64(0)
		for {
			highest = max(highest, w.memoryBytes())
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(memorySampleInterval):
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-peak
	}
}
