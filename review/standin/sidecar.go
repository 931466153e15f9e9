package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployment is what a sidecar's start file says.
type deployment struct {
	listen, discovery string
	memoryMB, sockets int
	products          []map[string]any
	known             list
	more              func(settings map[string]any) // changes the settings; may be nil
}

// product returns a product's settings.
func product(name, effect string, expected, abandon float64, more map[string]any) map[string]any {
	p := map[string]any{"name": name, "effect": effect, "expected-time": expected, "abandon-time": abandon, "value": 1.0, "overdue-value": 0.25,
		"dedup-scope": "all", "key-ttl": 10000.0, "streaming": false}
	for k, v := range more {
		p[k] = v
	}
	return p
}

// startFile writes the start file. Figures are those of the sample on the wire page.
func (d *deployment) startFile(path string) error {
	settings := map[string]any{
		"allowed": map[string]any{"connect-timeout": 250.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 52052, "idle-close": 15000.0, "max-legs": 4,
			"max-open": 20821, "max-retry-after": 2000.0, "may-cancel": true, "multiplex": 1, "peers": false, "probes": true, "retry-after": true, "second-copies": true},
		"callers": map[string]any{"marks-retry": false}, "domain": map[string]any{"warm-keys": false}, "family": "mesh", "fleet-size": 3,
		"guarantees": map[string]any{"ask-within": 10000.0, "cold": 24000.0, "cold-from": 0.12, "drain-grace": 500.0, "fall": 1000.0, "fall-multiple": 3.0, "grace-to-answer": 20.0},
		"kinds":      []string{"small-fast", "double-std", "double-slow"}, "layer": 0, "locality": "rennes-1", "me": 0, "overage-value": 0.1,
		"prices":   map[string]any{"connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "registry-mode": 0.0, "waste": 0.013},
		"products": d.products, "registry-mode": "on_request", "report": map[string]any{"columns": []string{"cpu", "active", "err_rps"}, "how": "piggyback"},
		"score-parts": map[string]any{"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0.0, "worst-window": 0.35}, "tenants": []any{}, "tick": 5.0,
		"tiers": []string{"gallery-servers"}, "value-by": "request", "weight-kind": "rough", "zones": []string{"rennes-1"},
	}
	if d.more != nil {
		d.more(settings)
	}
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": d.listen, "discovery": d.discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets}, "known": d.known, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// sidecar is one process of the sidecar, started by the run command of the deploy file.
type sidecar struct {
	cmd     *exec.Cmd
	name    string
	console string
	ended   chan struct{}
	rec     *record
}

// runCommand reads run from the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml names no run")
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startSidecar starts a process. tmp is its $TMPDIR; console may be "".
func startSidecar(rec *record, root, name, config, tmp, listen, disc, console, logPath string) (*sidecar, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	s := &sidecar{cmd: exec.Command("/bin/sh", "-c", run), name: name, console: console, ended: make(chan struct{}), rec: rec}
	s.cmd.Dir = root
	s.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+disc, "RELAY_CONFIG="+config, "TMPDIR="+tmp)
	if console != "" {
		s.cmd.Env = append(s.cmd.Env, "RELAY_CONSOLE="+console)
	}
	if lv := os.Getenv("SIDECAR_LOG"); lv != "" {
		s.cmd.Env = append(s.cmd.Env, "RELAY_LOG="+lv)
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	rec.say("sidecar %s started", name)
	go func() {
		err := s.cmd.Wait()
		rec.say("sidecar %s ended: %v", name, err)
		close(s.ended)
	}()
	return s, nil
}

func (s *sidecar) signal(sig syscall.Signal) {
	select {
	case <-s.ended:
	default:
		s.rec.say("%v to sidecar %s", sig, s.name)
		s.cmd.Process.Signal(sig)
	}
}

func (s *sidecar) running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// kill ends the process, if it runs, and waits for its end.
func (s *sidecar) kill() {
	if s.running() {
		s.signal(syscall.SIGKILL)
		<-s.ended
	}
}

// waitReady waits until url answers 200.
func (s *sidecar) waitReady(url string, limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until) && s.running(); time.Sleep(10 * time.Millisecond) {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if got, err := client.Get(url); err == nil {
			got.Body.Close()
			if got.StatusCode == http.StatusOK {
				s.rec.say("sidecar %s answers 200 at %s", s.name, url[len("http://"):])
				return nil
			}
		}
	}
	return fmt.Errorf("sidecar %s did not get ready", s.name)
}
