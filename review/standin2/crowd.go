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
	"sync/atomic"
	"syscall"
	"time"
)

// readAndClosed: four sidecars, each beside an application that sends each request on a new connection. There are also clients
// that stop in the middle of a long request and stay, and come again when they are turned away.
func readAndClosed(p *play) (broken bool) {
	const (
		playTime    = 100 * time.Second
		sidecars    = 4
		sockets     = 256
		bad         = 140                  // such clients of each sidecar
		pause       = 5 * time.Millisecond // between two requests of the application: 200 a second at the most
		timeoutMs   = 2000
		patience    = timeoutMs*time.Millisecond + 550*time.Millisecond
		connections = sockets / 3 // that an application may hold
	)
	var runs sync.Map
	serve := func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		runs.Store(id, true)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(id), id)
	}
	var servers []server
	for n := range 8 {
		e := p.newEndpoint(fmt.Sprintf("e%d", n), serve)
		servers = append(servers, inService(e.id, e.addr))
	}
	d := p.newDiscovery(servers...)
	var started []*sidecar
	for range sidecars {
		started = append(started, p.startSidecar(d.addr, terms{memoryMB: 64, sockets: sockets,
			products: []object{product("look", "retryable", 500, timeoutMs, nil), product("buy", "fragile", 500, timeoutMs, nil)}}))
	}
	var stop atomic.Bool
	var all sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) { mu.Lock(); counts[what]++; mu.Unlock() }
	var lost atomic.Int64
	send := func(s *sidecar, id string) {
		c, err := dial(s.listen)
		if err != nil {
			count("no connection")
			return
		}
		defer c.Close()
		if _, err := io.WriteString(c, head("GET", "look", id, timeoutMs, "")); err != nil {
			count("not written")
			return
		}
		whole := time.Now()
		c.SetReadDeadline(whole.Add(patience))
		_, err = c.reader.Peek(1)
		switch {
		case errors.Is(err, io.EOF) && wasReset(c.Conn): // closed before the request was written
			count("shut unread before the request came, which is allowed")
		case errors.Is(err, io.EOF): // with a byte left unread, the kernel would have reset the connection
			_, ran := runs.Load(id)
			p.note("%s: written whole on a new connection, and %v later its connection is closed in good order with no byte of an answer; it reached an endpoint: %v",
				id, time.Since(whole), ran)
			lost.Add(1)
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.note("%s: no byte of an answer within %v", id, patience)
			lost.Add(1)
		case err != nil:
			count("reset: a new connection shut unread, which is allowed")
		default:
			status, _, err := c.read(patience)
			count(fmt.Sprintf("status %d, error %v", status, err))
		}
	}
	var ids, halves atomic.Int64
	for _, s := range started {
		free := make(chan bool, connections)
		all.Go(func() {
			for !stop.Load() {
				time.Sleep(pause)
				free <- true
				all.Go(func() {
					defer func() { <-free }()
					send(s, fmt.Sprintf("id%d", ids.Add(1)))
				})
			}
		})
		if !p.trouble {
			continue
		}
		p.note("%d clients of %s stop in the middle of a long request", bad, s.listen)
		for range bad {
			all.Go(func() {
				for !stop.Load() {
					if c, err := dial(s.listen); err == nil {
						id := fmt.Sprintf("half%d", halves.Add(1))
						io.WriteString(c, head("POST", "buy", id, timeoutMs, "Content-Length: 400000\r\n")+strings.Repeat("x", 200_000))
						c.read(4 * time.Second)
						c.Close()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	for begun := time.Now(); time.Since(begun) < playTime && lost.Load() == 0; {
		time.Sleep(100 * time.Millisecond)
		for _, s := range started {
			select {
			case <-s.exited:
				panic(cantRun{errors.New("a sidecar has ended")})
			default:
			}
		}
	}
	stop.Store(true)
	all.Wait()
	p.note("answers of the application: %v; read and never answered: %d; half requests: %d", counts, lost.Load(), halves.Load())
	return lost.Load() > 0
}

// wasReset reports whether a connection on which EOF was read has been reset by the other side, or can't be told. A kernel resets
// a connection when bytes come after it was closed there: reading says EOF all the same, but writing would fail.
func wasReset(c net.Conn) bool {
	time.Sleep(20 * time.Millisecond) // for the reset to arrive
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := true
	raw.Control(func(fd uintptr) {
		pending, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = err != nil || pending != 0
	})
	return reset
}
