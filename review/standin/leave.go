package main

import (
	"fmt"
	"net/http"
	"time"
)

// clientsLeave is case 3: clients of long requests leave during bursts, while their requests wait to be sent on.
//
// TROUBLE=0 plays the same requests, and no client leaves.
func clientsLeave(w *world) (broken []string, err error) {
	const (
		timeout = 1200 * time.Millisecond
		usual   = 80                     // requests a second
		burst   = 168                    // 2.1 times as many
		length  = 34 * time.Second       // with two bursts of 10 s
		limit   = 150 * time.Millisecond // 0.1 s, and 50 ms as for each time limit on sockets
	)
	work := func(*http.Request) time.Duration { return 110 * time.Millisecond }
	products := []map[string]any{product("view-gallery", "retryable", 500, 2000, nil), product("order-prints", "fragile", 1000, 2000, nil),
		product("save-selection", "dedup", 1000, 2000, nil)}
	if err := w.build(8, work, products, 64, 512); err != nil {
		return nil, err
	}
	for _, e := range w.endpoints {
		e.slots = make(chan bool, 2)
	}
	s, err := w.startSidecar("first", "tmp", "")
	if err != nil {
		return nil, err
	}
	if err := s.waitReady("http://"+w.dep.listen+"/up", 10*time.Second); err != nil {
		return nil, err
	}
	started, n := time.Now(), 0
	for at := time.Duration(0); at < length; n++ {
		rate := usual
		if in := at % (16 * time.Second); in > 6*time.Second {
			rate = burst
		}
		at += time.Second / time.Duration(rate)
		time.Sleep(time.Until(started.Add(at)))
		c := &call{id: fmt.Sprintf("u-%05d", n), class: "view-gallery", effect: "retryable", timeout: timeout}
		switch {
		case n%20 == 7: // one in twenty is long, and its client leaves
			c.id, c.class, c.effect, c.body = fmt.Sprintf("long-%05d", n), "order-prints", "fragile", 800_000
			if w.trouble != "0" {
				c.leaveAfter = 10 * time.Millisecond
			}
		case n%4 == 1:
			c.class, c.effect, c.body = "order-prints", "fragile", 200
		}
		w.clients.start(c)
	}
	w.clients.wg.Wait()
	time.Sleep(2 * time.Second)
	left, served := 0, 0
	for _, c := range w.clients.all {
		if c.status == http.StatusOK {
			served++
		}
		if c.leftAt.IsZero() {
			continue
		}
		left++
		for _, e := range w.endpoints {
			e.mu.Lock()
			for _, at := range e.arrivals[c.id] {
				if after := at.Sub(c.leftAt); after > limit {
					broken = append(broken, fmt.Sprintf("an attempt for %s began at %s %.3f s after its client had closed its connection; runs: %d", c.id, e.id, after.Seconds(), e.runs[c.id]))
				}
			}
			e.mu.Unlock()
		}
	}
	w.rec.say("%d requests of clients, %d served, %d clients left", n, served, left)
	return broken, nil
}
