package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// longErrorPages: an application sends 300 requests a second. For two seconds all endpoints answer 500 with a page of 64,000
// bytes, the end of which comes late. The platform ends a process that holds more than its memory.
func longErrorPages(p *play) (broken bool) {
	const (
		memoryMB    = 32
		sockets     = 1024
		connections = sockets / 3 // that the application may hold
		endpoints   = 13
		interval    = time.Second / 300
		timeoutMs   = 2000
		work        = 300 * time.Millisecond
		usualTime   = 20 * time.Second
		troubleTime = 2 * time.Second
		pageBytes   = 64_000
		pageEnd     = 1500 * time.Millisecond // after which the last 100 bytes of a page come
	)
	page := strings.Repeat("e", pageBytes)
	var trouble atomic.Bool
	var attempts, open, mostOpen atomic.Int64
	serve := func(c *net.TCPConn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if !trouble.Load() {
				time.Sleep(work)
				answer(c, "answer to "+r.Header.Get("Request-Id"))
				continue
			}
			attempts.Add(1)
			now := open.Add(1)
			for most := mostOpen.Load(); now > most && !mostOpen.CompareAndSwap(most, now); most = mostOpen.Load() {
			}
			fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", pageBytes, page[:pageBytes-100])
			time.Sleep(pageEnd)
			io.WriteString(c, page[pageBytes-100:])
			open.Add(-1)
		}
	}
	var servers []server
	for n := range endpoints {
		e := p.newEndpoint(fmt.Sprintf("e%d", n), serve)
		servers = append(servers, inService(e.id, e.addr))
	}
	d := p.newDiscovery(servers...)
	s := p.startSidecar(d.addr, terms{memoryMB: memoryMB, sockets: sockets, products: []object{product("look", "retryable", 1000, timeoutMs, nil)}})

	var killed atomic.Bool
	var peak atomic.Int64
	go func() { // the platform
		for ; ; time.Sleep(5 * time.Millisecond) {
			select {
			case <-s.exited:
				return
			default:
			}
			resident, err := residentKB(s.cmd.Process.Pid)
			if err != nil {
				continue
			}
			peak.Store(max(peak.Load(), resident))
			if resident > memoryMB<<10 && !killed.Swap(true) {
				p.note("process %d holds %.1f MB of %d: the platform kills it", s.cmd.Process.Pid, float64(resident)/1024, memoryMB)
				s.cmd.Process.Kill()
			}
		}
	}()

	var ids, lost atomic.Int64
	var mu sync.Mutex
	counts := map[string]int{}
	send := func(phase string) {
		id := fmt.Sprintf("id%d", ids.Add(1))
		what := "no connection"
		if c, err := dial(s.listen); err == nil {
			defer c.Close()
			if _, err = io.WriteString(c, head("GET", "look", id, timeoutMs, "")); err == nil {
				status, _, err := c.read(timeoutMs*time.Millisecond + 550*time.Millisecond)
				if what = fmt.Sprintf("status %d", status); err != nil {
					what = "no answer"
					lost.Add(1)
				}
			}
		}
		mu.Lock()
		counts[phase+": "+what]++
		mu.Unlock()
	}
	var all sync.WaitGroup
	held := make(chan bool, connections)
	run := func(phase string, length time.Duration) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for end := time.Now().Add(length); time.Now().Before(end) && !killed.Load(); <-ticker.C {
			select {
			case held <- true:
				all.Go(func() {
					defer func() { <-held }()
					send(phase)
				})
			default: // the application holds all that it may
			}
		}
	}
	run("usual", usualTime)
	p.note("usual service for %v; memory %.1f MB at the most", usualTime, float64(peak.Load())/1024)
	if p.trouble {
		p.note("the endpoints answer 500 with %d bytes, the last 100 of them after %v", pageBytes, pageEnd)
		trouble.Store(true)
	}
	run("trouble", troubleTime)
	trouble.Store(false)
	run("after", 3*time.Second)
	all.Wait()
	select {
	case <-s.exited:
		if !killed.Load() {
			panic(cantRun{errors.New("the sidecar has ended")})
		}
	default:
	}
	p.note("requests: %v", counts)
	p.note("%d attempts were answered 500, %d of them open at once at the most; memory %.1f MB at the most, of %d; requests without an answer: %d",
		attempts.Load(), mostOpen.Load(), float64(peak.Load())/1024, memoryMB, lost.Load())
	return killed.Load()
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return 0, errors.New("no VmRSS")
}
