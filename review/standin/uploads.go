package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// uploadsAtShutdown is case 1: a planned restart while long requests arrive and some endpoints hang.
//
// TROUBLE=0 plays the same clients with neither; TROUBLE=hang and TROUBLE=restart play one of the two alone.
func uploadsAtShutdown(w *world) (broken []string, err error) {
	const (
		abandon = 2000.0                                        // longest deadline of the settings, ms
		grace   = (abandon + 700) * time.Millisecond            // SIGKILL comes no sooner after SIGTERM
		rate    = 128_000                                       // bytes a second of a long request; clients may send at 64 kB/s
		timeout = time.Duration(abandon*0.6) * time.Millisecond // a try is given up after 50 to 60% of the abandon time
	)
	hang, restart := w.trouble != "0" && w.trouble != "restart", w.trouble != "0" && w.trouble != "hang"
	work := func(*http.Request) time.Duration { return 100 * time.Millisecond }
	products := []map[string]any{product("view-gallery", "retryable", 500, abandon, nil), product("order-prints", "fragile", 1000, abandon, nil),
		product("save-selection", "dedup", 1000, abandon, nil)}
	if err := w.build(8, work, products, 64, 512); err != nil {
		return nil, err
	}
	s, err := w.startSidecar("first", "tmp-first", "")
	if err != nil {
		return nil, err
	}
	if err := s.waitReady("http://"+w.dep.listen+"/up", 10*time.Second); err != nil {
		return nil, err
	}
	// Usual traffic: 40 requests a second until SIGTERM.
	usual := make(chan bool)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-usual:
				return
			case <-time.After(25 * time.Millisecond):
				w.clients.start(&call{id: fmt.Sprintf("usual-%04d", n), class: "view-gallery", effect: "retryable", timeout: timeout})
			}
		}
	}()
	time.Sleep(3 * time.Second)
	// Long requests: each is sent whole between 0.9 and 2.3 s after SIGTERM, before SIGKILL may come.
	const uploads = 24
	term := time.Now().Add(3500 * time.Millisecond)
	for n := range uploads {
		end := term.Add(900*time.Millisecond + time.Duration(n)*1400*time.Millisecond/(uploads-1))
		body := 300_000 + 4000*n // bytes; over a 256th of the memory
		c := &call{id: fmt.Sprintf("long-%02d", n), class: "order-prints", effect: "fragile", timeout: timeout, body: body, rate: rate}
		begin := end.Add(-time.Duration(float64(body) / rate * float64(time.Second)))
		time.AfterFunc(time.Until(begin), func() { w.clients.start(c) })
	}
	time.Sleep(time.Until(term))
	close(usual)
	if hang { // three of eight endpoints
		for _, e := range w.endpoints[:3] {
			w.rec.say("%s hangs", e.id)
			e.hanging.Store(true)
		}
	}
	if restart {
		s.signal(syscall.SIGTERM)
		select {
		case <-s.ended:
		case <-time.After(time.Until(term.Add(grace))):
			s.kill()
		}
		w.rec.say("the sidecar has ended %.3f s after SIGTERM", time.Since(term).Seconds())
		if s, err = w.startSidecar("second", "tmp-second", ""); err != nil {
			return nil, err
		}
		if err := s.waitReady("http://"+w.dep.listen+"/up", 10*time.Second); err != nil {
			return nil, err
		}
	}
	w.clients.wg.Wait()
	answered := 0
	for _, c := range w.clients.all {
		switch {
		case c.lastByteAt.IsZero(): // not taken
		case c.answeredAt.IsZero():
			broken = append(broken, fmt.Sprintf("%s was taken (last byte %.3f s after SIGTERM) and got no answer: %v; runs at endpoints: %d",
				c.id, c.lastByteAt.Sub(term).Seconds(), c.err, w.runs(c.id)))
		case c.answeredAt.After(c.lastByteAt.Add(c.timeout + 550*time.Millisecond)):
			broken = append(broken, fmt.Sprintf("%s was answered %.3f s after its last byte, its time was %v", c.id, c.answeredAt.Sub(c.lastByteAt).Seconds(), c.timeout))
		case c.status == http.StatusOK && !c.right:
			broken = append(broken, c.id+" got a wrong answer")
		case w.runs(c.id) > 1 && c.effect == "fragile":
			broken = append(broken, c.id+" ran more than once")
		default:
			answered++
		}
	}
	w.rec.say("%d requests of clients, %d answered", len(w.clients.all), answered)
	return broken, nil
}
