package adverse

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listing is an endpoint's entry in discovery's list.
type Listing struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

// inService is the state of an endpoint that takes requests.
const inService = "in_service"

// listMessage is one message of discovery.
type listMessage struct {
	Version int       `json:"version"`
	Full    bool      `json:"full"`
	Servers []Listing `json:"servers"`
}

// heartbeatInterval is the time between two empty lines on a watch that has nothing to tell.
const heartbeatInterval = 2 * time.Second

// Discovery is the stand-in of the list service.
type Discovery struct {
	addr     string
	mu       sync.Mutex
	messages []listMessage // the first one is the whole list at the start, the others are changes
	changed  chan struct{}
}

func newDiscovery(entries []Listing) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{addr: listener.Addr().String(), changed: make(chan struct{}), messages: []listMessage{{Version: 1, Full: true, Servers: entries}}}
	go (&http.Server{Handler: d}).Serve(listener)
	return d, nil
}

// Publish announces changed entries, one message for all of them.
func (d *Discovery) Publish(entries ...Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messages = append(d.messages, listMessage{Version: len(d.messages) + 1, Servers: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// whole returns the whole list as of now.
func (d *Discovery) whole() listMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := listMessage{Version: len(d.messages), Full: true, Servers: append([]Listing(nil), d.messages[0].Servers...)}
	for _, message := range d.messages[1:] {
		for _, entry := range message.Servers {
			list.apply(entry)
		}
	}
	return list
}

// apply replaces the entry of the same id, or adds one.
func (l *listMessage) apply(entry Listing) {
	for n := range l.Servers {
		if l.Servers[n].ID == entry.ID {
			l.Servers[n] = entry
			return
		}
	}
	l.Servers = append(l.Servers, entry)
}

// after returns the messages after a version, and a channel that is closed at the next change.
func (d *Discovery) after(version int) ([]listMessage, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.messages[min(version, len(d.messages)):], d.changed
}

// ServeHTTP answers with the whole list, and keeps a watch open.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	list := d.whole()
	encoder.Encode(list)
	if r.URL.Query().Get("watch") == "" {
		return
	}
	sent := list.Version
	for r.Context().Err() == nil {
		w.(http.Flusher).Flush()
		messages, changed := d.after(sent)
		for _, message := range messages {
			encoder.Encode(message)
			sent = message.Version
		}
		if len(messages) > 0 {
			continue
		}
		select {
		case <-r.Context().Done():
		case <-changed:
		case <-time.After(heartbeatInterval):
			w.Write([]byte("\n"))
		}
	}
}
