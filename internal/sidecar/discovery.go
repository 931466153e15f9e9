// Discovery: the list of endpoints. This file owns the decoding of lists, the watch, and which endpoints the list named
// last. It must never judge an endpoint, nor ask again by itself: the module is told of a failure and asks.
package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	beat      = 2 * time.Second
	silence   = beat + beat/4 // over a beat, and early enough to ask again before news count as told
	lineTime  = beat / 4      // from part of a line to more of it
	listMost  = 4 << 20
	lateReads = 16
	dialLast  = time.Second // news of a new discovery count as told 4 s after SIGHUP: there must be time for two more

	// A change counts as told so long after discovery had it and could be reached, whatever failed before. A call that
	// began just before may fail for the whole of its time; then comes a wait, then a call that is answered within answerIn.
	toldLast = 6 * time.Second
	answerIn = time.Second
	lateRead = beat / 200
)

// waitLongest is what toldLast leaves for the wait behind a call that failed, where a call may be silent for so long.
func waitLongest(silence time.Duration) time.Duration {
	return max(toldLast-answerIn-silence-lateReads*lateRead, beat/4)
}

// entry is one entry of a list.
type entry struct {
	id, addr, zone string
	kind           string // of machine
	cell           logic.CellID
	running, gone  bool
	weight         float64
	started        logic.Millis
}

// noVersion is that of no list. The first list may well be the 0th: a whole fleet that asks for it anew, restart by
// restart, makes discovery write every line to everybody, and leaves it no time for changes.
const noVersion = -1

// inventory is a list or a change of it.
type inventory struct {
	version int64
	full    bool
	servers []entry
}

var errJunk = errors.New("not a list")

func decode(v *fastjson.Value) (inventory, error) {
	list := v.Get("servers")
	if list == nil || list.Type() != fastjson.TypeArray {
		return inventory{}, errJunk
	}
	i := inventory{version: noVersion, full: v.GetBool("full")}
	if n := v.Get("version"); n != nil && n.Type() == fastjson.TypeNumber {
		i.version = n.GetInt64()
	}
	for _, e := range list.GetArray() {
		s := entry{
			id: string(e.GetStringBytes("id")), addr: string(e.GetStringBytes("addr")),
			zone: string(e.GetStringBytes("zone")), kind: string(e.GetStringBytes("kind")), cell: logic.CellID(e.GetInt("cell")),
			running: string(e.GetStringBytes("state")) == "in_service" || seeded == "drains" && string(e.GetStringBytes("state")) == "terminating",
			gone:    string(e.GetStringBytes("state")) == "terminated",
			weight:  e.GetFloat64("weight"), started: terms.Millis(e, "started_ms"),
		}
		if seeded == "cold" {
			s.started = 0
		}
		if s.id == "" {
			return inventory{}, errJunk
		}
		i.servers = append(i.servers, s)
	}
	return i, nil
}

// encode writes a whole list in discovery's form.
func encode(a *fastjson.Arena, i inventory) *fastjson.Value {
	servers, list := a.NewArray(), a.NewObject()
	for n, e := range i.servers {
		s, state := a.NewObject(), "terminating"
		if e.running {
			state = "in_service"
		}
		s.Set("id", a.NewString(e.id))
		s.Set("addr", a.NewString(e.addr))
		s.Set("zone", a.NewString(e.zone))
		s.Set("kind", a.NewString(e.kind))
		s.Set("cell", a.NewNumberInt(int(e.cell)))
		s.Set("state", a.NewString(state))
		s.Set("weight", a.NewNumberFloat64(e.weight))
		s.Set("started_ms", a.NewNumberFloat64(float64(e.started)))
		servers.SetArrayItem(n, s)
	}
	list.Set("version", a.NewNumberString(strconv.FormatInt(i.version, 10)))
	list.Set("servers", servers)
	return list
}

// lists follows discovery. All but the watch's own goroutine belongs to the loop.
type lists struct {
	addr    string
	silence time.Duration
	zones   *terms.Names
	version int64 // by this discovery's own count; noVersion asks for the whole list
	current int   // number of the watch in force; what an older one still says is stale
	stop    context.CancelFunc
	outage  outage
	live    bool // the watch in force has not ended
	heard   bool // it has told something
	asked   logic.Millis
	silent  bool // a watch has ended, and no list came since
	before  int  // number of the watch of the discovery before, believed until the new one has told its list
	stopOld context.CancelFunc
	named   map[logic.EndpointID]bool // true: by the last whole list or since
	addrs   map[logic.EndpointID]bool // had an address once
	entries map[logic.EndpointID]entry
}

// inventory is the list as it stands.
func (d *lists) inventory() inventory {
	i := inventory{version: d.version, full: true}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		i.servers = append(i.servers, d.entries[id])
	}
	return i
}

func newLists(addr string, silence time.Duration, names *terms.Names) *lists {
	return &lists{
		addr: addr, version: noVersion, silence: silence, zones: names, stop: func() {}, stopOld: func() {}, named: map[logic.EndpointID]bool{},
		addrs: map[logic.EndpointID]bool{}, entries: map[logic.EndpointID]entry{},
	}
}

func (d *lists) forgetAll() {
	for id := range d.named {
		d.named[id] = false
	}
}

func (d *lists) mark(id logic.EndpointID, e entry) {
	if e.addr == "" {
		e.addr = d.entries[id].addr
	}
	d.named[id], d.entries[id] = true, e
}

// drop lets go of all that is held of an endpoint: ids are ever new, and never come back.
func (d *lists) drop(id logic.EndpointID) {
	delete(d.named, id)
	delete(d.addrs, id)
	delete(d.entries, id)
}

// known tells whether there is an address to send to.
func (d *lists) known(id logic.EndpointID, addr string) bool {
	d.addrs[id] = d.addrs[id] || addr != ""
	return d.addrs[id]
}

// missing drops what a whole list did not name.
func (d *lists) missing() (gone []logic.EndpointID) {
	for id, named := range d.named {
		if !named {
			gone = append(gone, id)
			d.drop(id)
		}
	}
	return gone
}

// move turns to another discovery. The old one goes on telling for a moment: a drain in its last words counts as told,
// and must not be thrown away while the new one is still being asked.
func (d *lists) move(addr string) (moved bool) {
	if addr == d.addr {
		return false
	}
	if d.heard {
		d.stopOld()
		d.before, d.stopOld = d.current, d.stop
	} else {
		d.stop()
	}
	// Nothing says that the new one counts on from the old one's versions: it is asked for the whole list.
	d.addr, d.version, d.stop, d.live = addr, noVersion, func() {}, false
	return true
}

// believes tells whether what a watch says still counts. The new discovery's first word ends the old one's.
func (d *lists) believes(watch int) bool {
	if watch == d.current && !d.heard {
		d.heard, d.before = true, 0
		d.stopOld()
	}
	return watch == d.current || watch == d.before
}

// older tells that a list comes from before what this watch, or the one before it, has told already.
func (d *lists) older(e listing) bool {
	return !e.fromDisk && e.watch == d.current && e.version >= 0 && e.version < d.version
}

// again has the whole list asked for anew: what was told does not add up.
func (d *lists) again() {
	d.stop()
	d.version, d.live = noVersion, false
}

// watch starts the one watch in place of any that has ended. A timer of the module that was set before the discovery
// moved must not break off the watch of the new one.
func (d *lists) watch(ctx context.Context, post func(event)) {
	if d.live {
		return
	}
	d.stop()
	d.current++
	d.live, d.heard = true, false
	number, addr, after := d.current, d.addr, d.version
	ctx, d.stop = context.WithCancel(ctx)
	go func() {
		stage := connecting
		began := time.Now()
		err := d.follow(ctx, addr, after, &stage, func(i inventory) { post(listing{inventory: i, watch: number}) })
		if ctx.Err() == nil {
			post(listLost{watch: number, cause: &callError{Addr: addr, Stage: stage, Began: began, Took: time.Since(began), Cause: err}})
		}
	}()
}

// hearing reads what discovery says. A process that stood still for a while finds its time over and news unread, which
// count as told: a drain in them would be broken, were they thrown away with the watch.
//
// A line that began must go on at once. A discovery that stops in the middle of one would keep its news for as long as
// one that has none, though they are there to be asked for.
type hearing struct {
	net.Conn
	silence time.Duration
	late    int       // reads past their time since the last line
	started bool      // the last read ended inside a line
	inside  bool      // what was read so far ends inside an object, which may stand on several lines
	since   time.Time // when the line or the object that is read began; zero between two
}

// goOn is until when more of what began has to come. It has no longer than silence in all: a discovery that says a byte now
// and then would keep its news for ever.
func (h *hearing) goOn() time.Time {
	now := time.Now()
	if h.since.IsZero() {
		h.since = now
	}
	whole, more := h.since.Add(h.silence), now.Add(min(lineTime, h.silence))
	if more.Before(whole) {
		return more
	}
	return whole
}

func (h *hearing) Read(p []byte) (int, error) {
	switch {
	case h.inside:
		h.SetReadDeadline(h.goOn())
	case !h.started:
		h.since = time.Time{}
	}
	n, err := h.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && h.late < lateReads {
		h.late++
		h.SetReadDeadline(time.Now().Add(lateRead))
		n, err = h.Conn.Read(p)
	}
	if n > 0 && p[n-1] != '\n' {
		h.started = true
		h.SetReadDeadline(h.goOn())
	} else if n > 0 && h.started {
		h.started = false
		h.SetReadDeadline(time.Now().Add(h.silence))
	}
	return n, err
}

// follow hands on each line of one watch until it ends; a watch that says nothing for over a beat has ended.
func (d *lists) follow(ctx context.Context, addr string, after int64, stage *callStage, each func(inventory)) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic in the watch: %v", fault)
		}
	}()
	began := time.Now()
	dialled, err := (&net.Dialer{Timeout: min(dialLast, d.silence), KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	*stage = awaitingHead
	conn := &hearing{Conn: dialled, silence: d.silence}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(began.Add(d.silence)) // dialling takes its part of the time for the first word
	ask := "/discovery/hosts?watch=1"
	if after >= 0 {
		ask += "&after=" + strconv.FormatInt(after, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", ask, addr); err != nil {
		return err
	}
	most := &io.LimitedReader{R: conn, N: listMost} // bounds a head or a line without end
	got, err := http.ReadResponse(bufio.NewReader(most), nil)
	if err != nil {
		return err
	}
	if got.StatusCode != http.StatusOK {
		return errors.New(got.Status)
	}
	*stage = awaitingList
	var parser fastjson.Parser
	var said words
	for part := make([]byte, 8<<10); ; {
		n, err := got.Body.Read(part)
		for rest := part[:n]; len(rest) > 0; {
			text, beat, after, err := said.next(rest)
			if err != nil {
				return err
			}
			if rest = after; text != nil || beat {
				conn.SetDeadline(time.Now().Add(d.silence))
				most.N, conn.late = listMost, 0
			}
			if text == nil {
				continue
			}
			v, err := parser.ParseBytes(text)
			if err != nil {
				return err
			}
			i, err := decode(v)
			if err != nil {
				return err
			}
			each(i)
			*stage = following
		}
		conn.inside = said.depth > 0
		if conn.inside {
			*stage = insideList
		}
		if err != nil {
			return err
		}
	}
}

// words cuts what a watch says into objects, one a line or each over several, and the empty lines between them.
type words struct {
	held            []byte
	depth           int
	quoted, escaped bool
}

// next takes p up to the end of an object, which it returns, or of a line between two, which is a beat.
func (w *words) next(p []byte) (object []byte, beat bool, rest []byte, err error) {
	for n, c := range p {
		switch {
		case w.escaped:
			w.escaped = false
		case w.quoted:
			w.escaped, w.quoted = c == '\\', c != '"'
		case w.depth == 0 && (c == ' ' || c == '\t' || c == '\r'):
		case w.depth == 0 && c == '\n':
			return nil, true, p[n+1:], nil
		case w.depth == 0 && c != '{':
			return nil, false, nil, errJunk
		case c == '"':
			w.quoted = true
		case c == '{' || c == '[':
			w.depth++
		case c == '}' || c == ']':
			if w.depth--; w.depth == 0 {
				object = append(w.held, p[:n+1]...)
				w.held = object[:0]
				return object, false, p[n+1:], nil
			}
		}
	}
	if w.depth > 0 {
		w.held = append(w.held, p...)
	}
	if len(w.held) > listMost {
		err = errJunk
	}
	return nil, false, nil, err
}
