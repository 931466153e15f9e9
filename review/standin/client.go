package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one request of a client and what came of it.
type call struct {
	id, class, target string
	effect            string        // retryable, dedup or fragile: decides the method and the key
	timeout           time.Duration // counts from the last byte of the request
	body              int           // bytes
	rate              int           // bytes of the body a second; 0 for at once
	size              int           // bytes of the long answer asked for; 0 for a short one
	leaveAfter        time.Duration // the client closes its connection so long after its last byte; 0 for never

	began      time.Time
	leftAt     time.Time // when the client closed its connection before its answer
	lastByteAt time.Time // zero if the request was not written whole
	answeredAt time.Time // last byte of a whole answer; zero for none
	status     int
	got        string // body of a short answer
	right      bool   // a 200 has the body that an endpoint made for this request
	brokenOff  bool   // an answer had begun and ended before it was whole
	err        error
}

// patience is how long a client goes on listening beyond its time, so that a late answer can be told from none.
const patience = 700 * time.Millisecond

// clients sends calls to the sidecar and keeps them.
type clients struct {
	rec  *record
	addr string
	mu   sync.Mutex
	all  []*call
	wg   sync.WaitGroup
}

// start sends c in the background on a connection of its own.
func (cs *clients) start(c *call) {
	cs.mu.Lock()
	cs.all = append(cs.all, c)
	cs.mu.Unlock()
	cs.wg.Go(func() { cs.do(c) })
}

func (cs *clients) do(c *call) {
	c.began = time.Now()
	conn, err := net.DialTimeout("tcp", cs.addr, time.Second)
	if err != nil {
		c.err = err
		cs.rec.line("client could not connect for %s: %v", c.id, err)
		return
	}
	defer conn.Close()
	cs.send(c, conn)
}

// send writes the request, a long body in pieces at its rate, and reads the answer.
func (cs *clients) send(c *call, conn net.Conn) {
	method, head := "GET", ""
	if c.effect != "retryable" {
		method = "POST"
		head = fmt.Sprintf("Content-Length: %d\r\n", c.body)
	}
	if c.effect == "dedup" {
		head += "Idempotency-Key: key-" + c.id + "\r\n"
	}
	if c.target == "" {
		c.target = "/" + c.class
	}
	cs.rec.line("client sends %s %s body=%d", c.id, c.class, c.body)
	conn.SetWriteDeadline(time.Now().Add(60 * time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout: %dm\r\n%s\r\n",
		method, c.target, c.id, c.class, c.timeout.Milliseconds(), head)
	piece, started := make([]byte, 8<<10), time.Now()
	for sent := 0; err == nil && sent < c.body; {
		n := min(len(piece), c.body-sent)
		if c.rate > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(sent+n) / float64(c.rate) * float64(time.Second)))))
		}
		_, err = conn.Write(piece[:n])
		sent += n
	}
	if err == nil {
		c.lastByteAt = time.Now()
		cs.rec.line("client has sent the last byte of %s", c.id)
	} else {
		cs.rec.line("client could not send %s whole: %v", c.id, err)
	}
	if err == nil && c.leaveAfter > 0 {
		time.Sleep(c.leaveAfter)
		conn.Close()
		c.leftAt = time.Now()
		cs.rec.line("client of %s has closed its connection", c.id)
		return
	}
	conn.SetReadDeadline(time.Now().Add(c.timeout + patience))
	if c.err = cs.read(c, conn); c.err != nil {
		cs.rec.line("client got no whole answer to %s: %v", c.id, c.err)
		return
	}
	c.answeredAt = time.Now()
	cs.rec.line("client got %d for %s, right=%v, %.0f ms after its last byte", c.status, c.id, c.right, c.answeredAt.Sub(c.lastByteAt).Seconds()*1000)
}

// read reads one answer. A long one may take longer than the request's time, once it has begun.
func (cs *clients) read(c *call, conn net.Conn) error {
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	text, err := io.ReadAll(got.Body)
	if err != nil {
		c.brokenOff = true
		return err
	}
	if c.status = got.StatusCode; len(text) < 200 {
		c.got = string(text)
	}
	want := answerFor(c.id)
	if c.size > 0 {
		want = string(longAnswer(c.id, c.size))
	}
	c.right = string(text) == want
	return nil
}
