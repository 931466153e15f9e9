package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// idRunsAtTwoProcesses: while a usual client still sends the body of a single-use request to the first process, the process is
// replaced, and replaced once more. While an endpoint works on that request, a bad client sends its id.
func idRunsAtTwoProcesses(p *play) (broken bool) {
	const (
		bodyBytes  = 80_000
		pieceBytes = 6400 // every 100 ms: 64 kB a second
		timeoutMs  = 2000
		work       = 700 * time.Millisecond
	)
	var mu sync.Mutex
	runs, running := 0, make(chan bool, 10)
	e := p.newEndpoint("e0", func(c *net.TCPConn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			size, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			mu.Lock()
			runs++
			p.note("the endpoint runs single-use request %s (%d bytes), run %d", r.Header.Get("Request-Id"), size, runs)
			mu.Unlock()
			running <- true
			time.Sleep(work)
			answer(c, fmt.Sprintf("answer to %s with %d bytes", r.Header.Get("Request-Id"), size))
		}
	})
	d := p.newDiscovery(inService(e.id, e.addr))
	temp, err := os.MkdirTemp(p.dir, "tmp")
	must(err)
	listen := freePort()
	start := func() *sidecar {
		return p.startProcess(d.addr, terms{memoryMB: 192, sockets: 512, products: []object{product("buy", "fragile", 1000, timeoutMs, nil)}},
			listen, freePort(), temp)
	}
	first := start()
	usual, err := dial(listen)
	must(err)
	defer usual.Close()
	answered := make(chan bool)
	go func() {
		defer close(answered)
		io.WriteString(usual, head("POST", "buy", "id0", timeoutMs, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)))
		for sent := 0; sent < bodyBytes; sent += pieceBytes {
			io.WriteString(usual, strings.Repeat("u", pieceBytes))
			time.Sleep(100 * time.Millisecond)
		}
		p.note("the usual client has written its request id0")
		status, body, err := usual.read(4 * time.Second)
		p.note("the usual client has its answer: %d %q %v", status, body, err)
	}()
	time.Sleep(100 * time.Millisecond)
	if p.trouble {
		replace := func(old *sidecar) *sidecar {
			next := start()
			p.note("SIGTERM to process %d", old.cmd.Process.Pid)
			must(old.cmd.Process.Signal(syscall.SIGTERM))
			time.AfterFunc(timeoutMs*time.Millisecond+700*time.Millisecond, func() { old.cmd.Process.Kill() }) // at the earliest
			return next
		}
		second := replace(first)
		if os.Getenv("TROUBLE") != "one" { // with one replacement only, the rule holds
			replace(second)
			select {
			case <-second.exited:
				p.note("process %d has ended", second.cmd.Process.Pid)
			case <-time.After(time.Second):
			}
		}
	}
	select {
	case <-running:
	case <-answered:
		panic(cantRun{errors.New("the usual client's request did not reach the endpoint")})
	}
	time.Sleep(200 * time.Millisecond)
	bad, err := dial(listen)
	must(err)
	defer bad.Close()
	p.note("a bad client sends the id of the open request")
	io.WriteString(bad, head("POST", "buy", "id0", timeoutMs, "Content-Length: 3\r\n")+"bad")
	status, body, err := bad.read(4 * time.Second)
	p.note("the bad client has its answer: %d %q %v", status, body, err)
	<-answered
	mu.Lock()
	defer mu.Unlock()
	p.note("id0 has run %d times", runs)
	return runs > 1
}
