package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// resetAnswers is case 1: answers that state no length end with their connection, and some connections are reset on the way. Every
// third answer has a 1xx answer ahead.
//
// TROUBLE=0 plays the same clients and answers, and resets no connection.
func resetAnswers(w *world) (broken []string, err error) {
	const (
		timeout = 1200 * time.Millisecond
		length  = 20 * time.Second
	)
	products := []map[string]any{product("view-gallery", "retryable", 500, 2000, nil), product("order-prints", "fragile", 1000, 2000, nil),
		product("save-selection", "dedup", 1000, 2000, nil)}
	if err := w.build(8, nil, products, 64, 512); err != nil {
		return nil, err
	}
	for n, e := range w.endpoints {
		answers := 0
		e.server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			id := e.begin(rw, r)
			if id == "" {
				return
			}
			sleep(r.Context(), time.Duration(20+5*n)*time.Millisecond)
			if r.Context().Err() != nil {
				w.rec.line("%s was left by the sidecar with %s", e.id, id)
				return
			}
			conn, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close() // in good order: all that was written comes, then the end
			e.mu.Lock()
			answers++
			ahead, reset := answers%3 == 0, answers%10 == 0 && w.trouble != "0"
			e.mu.Unlock()
			head, body := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", answerFor(id)
			if ahead {
				head = "HTTP/1.1 103 Early Hints\r\n\r\n" + head
			}
			if !reset {
				conn.Write([]byte(head + body))
				w.rec.line("%s answered %s whole, 1xx ahead=%v", e.id, id, ahead)
				return
			}
			conn.Write([]byte(head + body[:len(body)/2]))
			time.Sleep(20 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
			w.rec.line("%s resets the connection after half of the answer to %s, 1xx ahead=%v", e.id, id, ahead)
		})
	}
	s, err := w.startSidecar("first", "tmp", "")
	if err != nil {
		return nil, err
	}
	if err := s.waitReady("http://"+w.dep.listen+"/up", 10*time.Second); err != nil {
		return nil, err
	}
	classes := []call{{class: "view-gallery", effect: "retryable"}, {class: "order-prints", effect: "fragile", body: 200}, {class: "save-selection", effect: "dedup", body: 200}}
	n := 0
	for began := time.Now(); time.Since(began) < length; n++ {
		c := classes[n%len(classes)]
		c.id, c.timeout = fmt.Sprintf("r-%05d", n), timeout
		w.clients.start(&c)
		time.Sleep(16 * time.Millisecond)
	}
	w.clients.wg.Wait()
	served := 0
	for _, c := range w.clients.all {
		switch {
		case c.status == http.StatusOK && !c.right:
			broken = append(broken, fmt.Sprintf("%s (%s) was served 200, whole by its framing, with %d bytes %q; its answer has %d bytes", c.id, c.class, len(c.got), c.got, len(answerFor(c.id))))
		case c.status == http.StatusOK:
			served++
		}
	}
	w.rec.say("%d requests of clients, %d served rightly", n, served)
	return broken, nil
}
