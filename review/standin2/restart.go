package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// restartBehindPipeline: a client has written three requests on one connection before the sidecar gets SIGTERM.
func restartBehindPipeline(p *play) (broken bool) {
	const requests, work, timeoutMs = 3, 900 * time.Millisecond, 3000
	e := p.newEndpoint("e0", func(c *net.TCPConn) {
		for reader := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := r.Header.Get("Request-Id")
			p.note("the endpoint has %s", id)
			time.Sleep(work)
			answer(c, "answer to "+id)
		}
	})
	d := p.newDiscovery(inService(e.id, e.addr))
	s := p.startSidecar(d.addr, terms{memoryMB: 192, sockets: 512, products: []object{product("look", "retryable", 1000, timeoutMs, nil)}})
	c, err := dial(s.listen)
	must(err)
	defer c.Close()
	var text strings.Builder
	for n := range requests {
		text.WriteString(head("GET", "look", fmt.Sprintf("id%d", n), timeoutMs, ""))
	}
	_, err = c.Write([]byte(text.String()))
	must(err)
	whole := time.Now()
	p.note("the client has written %d requests on one connection", requests)
	time.Sleep(200 * time.Millisecond)
	if p.trouble {
		p.note("SIGTERM")
		must(s.cmd.Process.Signal(syscall.SIGTERM))
		time.AfterFunc(timeoutMs*time.Millisecond+700*time.Millisecond, func() { s.cmd.Process.Kill() })
	}
	answered := 0
	for ; answered < requests; answered++ {
		status, body, err := c.read(time.Until(whole.Add(timeoutMs*time.Millisecond + 550*time.Millisecond)))
		p.note("answer to id%d: %d %q %v", answered, status, body, err)
		if err != nil {
			break
		}
	}
	for n := answered; n < requests; n++ { // the connection has ended: the client sends the request once more on a new one
		id := fmt.Sprintf("id%d", n)
		again, err := dial(s.listen)
		p.note("the client sends %s once more on a new connection: %v", id, err)
		if err != nil {
			broken = true
			continue
		}
		again.Write([]byte(head("GET", "look", id, timeoutMs, "")))
		status, body, err := again.read(4 * time.Second)
		p.note("answer to %s: %d %q %v", id, status, body, err)
		broken = broken || err != nil
		again.Close()
	}
	return broken
}
