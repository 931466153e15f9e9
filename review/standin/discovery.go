package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listEntry is an endpoint in discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
	version int
}

// list is a line of discovery's answer.
type list struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// discovery is the stand-in of the list service.
type discovery struct {
	addr    string
	rec     *record
	mu      sync.Mutex
	version int
	entries []listEntry
	changed chan struct{}
}

func newDiscovery(rec *record, entries []listEntry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), rec: rec, version: 1, entries: entries, changed: make(chan struct{})}
	for n := range d.entries {
		d.entries[n].version = 1
	}
	go (&http.Server{Handler: d}).Serve(ln)
	return d, nil
}

// full returns the whole list.
func (d *discovery) full() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Version: d.version, Full: true, Servers: append([]listEntry{}, d.entries...)}
}

// set changes the state of an endpoint.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for n := range d.entries {
		if d.entries[n].ID == id {
			d.entries[n].State, d.entries[n].version = state, d.version
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers with the whole list, or with a watch whose first line is the whole list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	text, _ := json.Marshal(d.full())
	w.Write(append(text, '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	w.(http.Flusher).Flush()
	sent := d.full().Version
	for r.Context().Err() == nil {
		d.mu.Lock()
		changed, version, news := d.changed, d.version, []listEntry{}
		for _, e := range d.entries {
			if e.version > sent {
				news = append(news, e)
			}
		}
		d.mu.Unlock()
		if len(news) > 0 {
			text, _ := json.Marshal(list{Version: version, Servers: news})
			w.Write(append(text, '\n'))
			sent = version
			d.rec.line("discovery told version %d", version)
			w.(http.Flusher).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-changed:
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		}
	}
}
