package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// longBody is the length of the long requests. The sidecar holds a request of this length whole.
const longBody = 700_000

// effects is what the endpoints of one group know together: which keys they have seen, and when a request of a key ran.
type effects struct {
	play   *play
	window time.Duration // within which a repeat is dropped

	mu   sync.Mutex
	runs map[string][]time.Time // by key
}

func newEffects(p *play, window time.Duration) *effects {
	return &effects{play: p, window: window, runs: map[string][]time.Time{}}
}

// arrived is called when the last byte of an attempt has come: it runs, unless it is dropped as a repeat.
func (e *effects) arrived(at, key string, body int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, runs := time.Now(), e.runs[key]
	if len(runs) > 0 && now.Sub(runs[0]) <= e.window {
		e.play.note("%s: an attempt of key %s has come whole (%d bytes), %v after the first run: dropped as a repeat", at, key, body, now.Sub(runs[0]))
		return
	}
	e.runs[key] = append(runs, now)
	if body < longBody {
		return
	}
	e.play.note("%s: an attempt of key %s has come whole (%d bytes): it runs", at, key, body)
	if len(runs) > 0 {
		e.play.note("%s: THE EFFECT OF KEY %s IS APPLIED A SECOND TIME, %v after the first", at, key, now.Sub(runs[0]))
	}
}

// twice reports whether a key's effect was applied more than once.
func (e *effects) twice() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		if len(runs) > 1 {
			return true
		}
	}
	return false
}

// serve serves attempts on one connection. before is called with the number of a long attempt when its head has come, after
// when it has come whole; after returns false if it has answered itself.
func (e *effects) serve(name string, attempts *int, before func(n int), after func(n int, c *net.TCPConn) bool) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		for reader := bufio.NewReaderSize(c, 4<<10); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id, key, n := r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), 0
			if r.ContentLength >= longBody {
				e.mu.Lock()
				*attempts++
				n = *attempts
				e.mu.Unlock()
				e.play.note("%s: attempt %d for %s begins, Request-Timeout %s", name, n, id, r.Header.Get("Request-Timeout"))
				before(n)
			}
			size, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				e.play.note("%s: attempt %d for %s broke off after %d bytes: %v", name, n, id, size, err)
				return
			}
			e.arrived(name, key, size)
			time.Sleep(10 * time.Millisecond)
			if n == 0 || after(n, c) {
				answer(c, "answer to "+id)
			}
		}
	}
}

// post returns a keyed request.
func post(class, id string, timeoutMs, body int) string {
	return head("POST", class, id, timeoutMs, fmt.Sprintf("Idempotency-Key: key-of-%s\r\nContent-Length: %d\r\n", id, body)) + strings.Repeat("x", body)
}

// sendLong sends the long request and notes its answer.
func (p *play) sendLong(c *client, class string, timeoutMs int) {
	_, err := io.WriteString(c, post(class, "long", timeoutMs, longBody))
	must(err)
	p.note("the client has written its request for %s, key key-of-long", class)
	status, text, err := c.read(5 * time.Second)
	p.note("the client has its answer: %d %q %v", status, text, err)
}

// repeatOutsideTheWindow: the first attempt of a keyed request is answered 500, and the endpoint that gets the repeat pauses
// in reading it.
func repeatOutsideTheWindow(p *play) (broken bool) {
	const window, pause = 400 * time.Millisecond, time.Second
	e, attempts := newEffects(p, window), 0
	before := func(n int) {
		if p.trouble && n == 2 {
			p.note("the endpoint reads nothing for %v", pause)
			time.Sleep(pause)
		}
	}
	after := func(n int, c *net.TCPConn) bool {
		if n == 1 {
			p.note("attempt 1 is answered 500")
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
		return n != 1
	}
	one, two := p.newEndpoint("e0", e.serve("e0", &attempts, before, after)), p.newEndpoint("e1", e.serve("e1", &attempts, before, after))
	d := p.newDiscovery(inService(one.id, one.addr), inService(two.id, two.addr))
	s := p.startSidecar(d.addr, terms{memoryMB: 192, sockets: 512,
		products: []object{product("send", "dedup", 600, 1500, object{"dedup-scope": "zone", "key-ttl": window.Milliseconds()})}})
	c, err := dial(s.listen)
	must(err)
	defer c.Close()
	p.sendLong(c, "send", 1500)
	time.Sleep(2 * time.Second)
	return e.twice()
}
