// Command standin2 plays the cases of the second review. It starts the sidecar as a separate process with the run command
// of deploy/balancer.toml, and holds the stand-ins of discovery, endpoints, clients and the platform. All addresses are
// loopback addresses with free ports.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is one run of a case.
type play struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool
	started time.Time

	mu       sync.Mutex
	record   io.Writer
	cleanups []func()
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.1f ms  %s\n", float64(time.Since(p.started).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// cantRun ends the case because something that is no part of the rule failed.
type cantRun struct{ err error }

func must(err error) {
	if err != nil {
		panic(cantRun{err})
	}
}

// atEnd has f called when the case ends, the last one first.
func (p *play) atEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cleanups = append(p.cleanups, f)
}

// cleanUp ends all that the case started. Only the first call does something.
func (p *play) cleanUp() {
	p.mu.Lock()
	cleanups := p.cleanups
	p.cleanups = nil
	p.mu.Unlock()
	for n := len(cleanups) - 1; n >= 0; n-- {
		cleanups[n]()
	}
}

// freePort returns a loopback address that is free now.
func freePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// ---- discovery

type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

// inService returns a list entry of an endpoint that has been in service for long.
func inService(id, addr string) server {
	return server{ID: id, Addr: addr, Zone: "a", Kind: "m", Cell: 1, State: "in_service", Weight: 1}
}

type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// discovery is the stand-in of discovery: whole lists and watches, with an empty line every 2 s.
type discovery struct {
	addr    string
	mu      sync.Mutex
	current list
	changed chan struct{}
}

func (p *play) newDiscovery(servers ...server) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{addr: ln.Addr().String(), current: list{Version: 1, Full: true, Servers: servers}, changed: make(chan struct{})}
	s := &http.Server{Handler: d}
	go s.Serve(ln)
	p.atEnd(func() { s.Close() })
	return d
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	d.mu.Lock()
	text, _ := json.Marshal(d.current)
	d.mu.Unlock()
	w.Write(append(text, '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	control.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
			control.Flush()
		}
	}
}

// ---- endpoints

// endpoint is the stand-in of an endpoint. serve is called for each connection.
type endpoint struct {
	id, addr string
}

// newEndpoint listens with the segment size of an Ethernet and a receive buffer of 64 KiB, as between two machines, and
// calls serve for each connection.
func (p *play) newEndpoint(id string, serve func(c *net.TCPConn)) *endpoint {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	must(err)
	p.atEnd(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.atEnd(func() { c.Close() })
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return &endpoint{id: id, addr: ln.Addr().String()}
}

// answer writes a 200 answer with a length.
func answer(w io.Writer, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// ---- the sidecar

// sidecar is one process of the program under test.
type sidecar struct {
	listen string
	cmd    *exec.Cmd
	exited chan struct{}
}

type object = map[string]any

// product returns the settings of a product.
func product(name, effect string, expected, abandon int, more object) object {
	o := object{"name": name, "effect": effect, "expected-time": expected, "abandon-time": abandon, "value": 1, "overdue-value": 0.25}
	for key, value := range more {
		o[key] = value
	}
	return o
}

// terms is what a start file says beside the addresses.
type terms struct {
	memoryMB, sockets int
	products          []object
}

// startSidecar writes the start file and starts the program with the run command of the deploy file. It returns once the
// sidecar answers GET /up with 200.
func (p *play) startSidecar(discoveryAddr string, t terms) *sidecar {
	temp, err := os.MkdirTemp(p.dir, "tmp")
	must(err)
	return p.startProcess(discoveryAddr, t, freePort(), "", temp)
}

// startProcess does the same at a given address, with a console unless its address is empty, and with a given folder as
// $TMPDIR. With a console it returns once that says yes.
func (p *play) startProcess(discoveryAddr string, t terms, listen, console, temp string) *sidecar {
	s := &sidecar{listen: listen, exited: make(chan struct{})}
	config := object{
		"name": "s0", "listen": s.listen, "discovery": discoveryAddr, "seed": "44994918176c3c57", "known": nil,
		"limits": object{"cores": 1, "memory_mb": t.memoryMB, "sockets": t.sockets},
		"settings": object{
			"allowed": object{"connect-timeout": 250, "idle-close": 10000, "max-legs": 4, "max-retry-after": 2000, "may-cancel": true,
				"retry-after": true, "second-copies": true},
			"fleet-size": 4, "locality": "a", "me": 0, "prices": object{"cross-zone": 0}, "products": t.products,
			"guarantees":    object{"ask-within": 4000, "cold": 5000, "cold-from": 0.3, "drain-grace": 500, "grace-to-answer": 20},
			"registry-mode": "on_request", "tick": 1,
		},
	}
	ready := "http://" + s.listen + "/up"
	if console != "" {
		config["console"], ready = console, "http://"+console+"/healthcheck"
	}
	text, err := json.Marshal(config)
	must(err)
	path := filepath.Join(p.dir, "start-"+filepath.Base(temp)+".json")
	must(os.WriteFile(path, text, 0o600))
	s.cmd = exec.Command("/bin/sh", "-c", p.runCommand())
	s.cmd.Dir = p.root
	s.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME=s0", "RELAY_LISTEN="+s.listen, "RELAY_DISCOVERY="+discoveryAddr, "TMPDIR="+temp)
	if console != "" {
		s.cmd.Env = append(s.cmd.Env, "RELAY_CONSOLE="+console)
	}
	must(s.cmd.Start())
	go func() { s.cmd.Wait(); close(s.exited) }()
	p.atEnd(func() {
		s.cmd.Process.Kill()
		<-s.exited
	})
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if r, err := http.Get(ready); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				p.note("process %d is ready at %s", s.cmd.Process.Pid, s.listen)
				return s
			}
		}
	}
	panic(cantRun{errors.New("the sidecar is not up after 20 s")})
}

// runCommand returns the value of run in the deploy file.
func (p *play) runCommand() string {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	must(err)
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	panic(cantRun{errors.New("deploy/balancer.toml has no run")})
}

// ---- clients

// client is one connection to the sidecar.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, class, id string, timeoutMs int, more string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %dm\r\n%s\r\n",
		method, class, id, class, timeoutMs, more)
}

// read reads one answer.
func (c *client) read(within time.Duration) (status int, body string, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}
