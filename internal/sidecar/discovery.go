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
	lateRead  = beat / 200
	dialLast  = beat // connections may come up late; the next call does not wait for this one
	// takenInAfter is when a call counts as taken in by discovery that was sent and is not refused.
	takenInAfter = 300 * time.Millisecond

	// A change counts as notified so long after discovery had it and could be reached, whatever failed before; after a new
	// configuration; after a watch ended in place of telling, as a long poll does. The module keeps these as deadlines.
	notifiedAfterReached = 6 * time.Second
	notifiedAfterMoved   = 4 * time.Second
	notifiedAfterEnded   = 2 * time.Second
	// longestWait is between two calls that fail at once: several have to fit wherever discovery's return may lie.
	longestWait = notifiedAfterReached / 5
)

// answerLast is how long a call waits for its first list: logic.AnswerPatience, or less where silence was set to less.
func (d *lists) answerLast() time.Duration {
	if injectedFault == "impatient" {
		return time.Second
	}
	return min(time.Duration(logic.AnswerTimeout)*time.Millisecond, d.silence*answerSilences)
}

// answerSilences is answerLast in times of the silence after which a watch has ended.
const answerSilences = 12

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

// unasked is the number of no call: that of lists which come by themselves.
const unasked = 0

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
			running: string(e.GetStringBytes("state")) == "in_service" || injectedFault == "drains" && string(e.GetStringBytes("state")) == "terminating",
			gone:    string(e.GetStringBytes("state")) == "terminated",
			weight:  e.GetFloat64("weight"), started: terms.Millis(e, "started_ms"),
		}
		if injectedFault == "cold" {
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

// lists follows discovery. All but each call's own goroutine belongs to the loop.
type lists struct {
	addr    string
	silence time.Duration
	zones   *terms.Names
	version int64            // by this discovery's own count; noVersion asks for the whole list
	calls   map[int]openCall // that have told nothing yet, by number, to this discovery and to those before
	last    int              // number of the last call
	moves   int              // configurations that named another discovery
	// When the configuration in force was read, here or by a sibling, on the machine's monotonic clock, and when the last one that came
	// while the process ran was; 0 for none. Siblings are told of the latter: what a process was started with is not news to the others.
	configured, reloaded time.Duration
	current              watch // the watch in force
	before               watch // of the discovery before, believed until the new one has told its list
	siblingFollows       bool  // another process of this sidecar has a watch of the discovery in force
	outage               outage
	named                map[logic.EndpointID]bool // true: by the last whole list or since
	addrs                map[logic.EndpointID]bool // had an address once
	entries              map[logic.EndpointID]entry
	drained              map[logic.EndpointID]drain
}

// drain is that an endpoint was told to drain or to be gone. It outlasts the watch that told it, for the next one may begin
// with a list from before: of a replica that lags, or of another discovery.
type drain struct {
	version int64 // of the list that told it
	started logic.Millis
	at      time.Time
}

// drainKept is for how long a drain stands against older lists: far longer than an endpoint takes to end.
const drainKept = time.Minute

// openCall is a call to discovery that has told nothing yet.
type openCall struct {
	began time.Time
	moves int // as they were when it began: less than now, and another discovery was in force
	stop  context.CancelFunc
}

// watch is a call that has told a list. Its zero value is none.
type watch struct {
	number int
	stop   context.CancelFunc
}

// live tells that it has not ended.
func (w *watch) live() bool { return w.number != 0 }

func (w *watch) end() {
	if w.stop != nil {
		w.stop()
	}
	*w = watch{}
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
		addr: addr, version: noVersion, silence: silence, zones: names, calls: map[int]openCall{}, named: map[logic.EndpointID]bool{},
		addrs: map[logic.EndpointID]bool{}, entries: map[logic.EndpointID]entry{}, drained: map[logic.EndpointID]drain{},
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

// missing drops what a whole list of this version did not name.
func (d *lists) missing(version int64, now time.Time) (gone []logic.EndpointID) {
	for id, named := range d.named {
		if !named {
			gone = append(gone, id)
			d.drains(id, 0, version, now)
			d.drop(id)
		}
	}
	return gone
}

// move turns to another discovery. The old one goes on telling for a moment: a drain in its last words counts as told, and
// must not be thrown away while the new one is still being asked. The same goes for the calls to it that are open: discovery
// does their work whether or not they are given up. The discovery that is turned back to is called anew too: what its old
// watch missed in between would not be noticed.
func (d *lists) move(addr string) (moved bool) {
	if addr == d.addr {
		return false
	}
	// Nothing says that the new one counts on from the old one's versions: it is asked for the whole list.
	d.addr, d.version = addr, noVersion
	d.moves++
	if d.current.live() {
		d.before.end()
		d.before, d.current = d.current, watch{}
	}
	d.current.end()
	d.dropOldCalls()
	return true
}

// oldCallsMost bounds the open calls to discoveries that are no longer in force.
const oldCallsMost = 4

// dropOldCalls gives up the oldest calls to earlier discoveries beyond their bound.
func (d *lists) dropOldCalls() {
	var old []int
	for number, c := range d.calls {
		if c.moves != d.moves {
			old = append(old, number)
		}
	}
	slices.Sort(old)
	for _, number := range old[:max(len(old)-oldCallsMost, 0)] {
		d.calls[number].stop()
		delete(d.calls, number)
	}
}

// dropNewestCall gives up the newest open call to the discovery in force: those before it keep their places in the queue.
func (d *lists) dropNewestCall() {
	newest := 0
	for number, c := range d.calls {
		if c.moves == d.moves {
			newest = max(newest, number)
		}
	}
	if c, open := d.calls[newest]; open {
		c.stop()
		delete(d.calls, newest)
	}
}

func (d *lists) endCalls() {
	for _, c := range d.calls {
		c.stop()
	}
	clear(d.calls)
}

// believes tells whether what a call says still counts, and whether it is the first word of a watch that is now in force.
// The new discovery's first word ends all that the one before still says.
func (d *lists) believes(number int) (believed, first bool) {
	c, open := d.calls[number]
	switch {
	case number == unasked:
		return d.last == 0, false
	case number == fromSibling:
		return true, false
	case number == d.current.number || number == d.before.number:
		return true, false
	case !open:
		return false, false
	}
	delete(d.calls, number)
	told := watch{number: number, stop: c.stop}
	if c.moves != d.moves {
		d.before.end()
		d.before = told
		return true, false
	}
	d.before.end()
	d.endCalls()
	d.current = told
	return true, true
}

// drains books an endpoint that is not in service by a list of this version. An older word of it takes nothing back.
func (d *lists) drains(id logic.EndpointID, started logic.Millis, version int64, now time.Time) {
	before := d.drained[id]
	d.drained[id] = drain{
		version: max(version, before.version), started: max(started, before.started, d.entries[id].started), at: now,
	}
}

// stillDrains tells that a list from before an endpoint's drain calls it in service. A later start ends the drain.
func (d *lists) stillDrains(e entry, version int64) bool {
	mark, drained := d.drained[logic.EndpointID(e.id)]
	switch {
	case !drained || !e.running:
		return false
	case version < 0 || version >= mark.version || e.started > mark.started:
		delete(d.drained, logic.EndpointID(e.id))
		return false
	}
	return true
}

// forgetDrains lets go of those that have stood for their time.
func (d *lists) forgetDrains(now time.Time) {
	maps.DeleteFunc(d.drained, func(_ logic.EndpointID, mark drain) bool { return now.Sub(mark.at) > drainKept })
}

// older tells that a list comes from before what this watch, or the one before it, has told already.
func (d *lists) older(e listing) bool {
	return !e.fromDisk && e.watch == d.current.number && e.version >= 0 && e.version < d.version
}

// again has the whole list asked for anew: what was told does not add up.
func (d *lists) again() {
	d.current.end()
	d.version = noVersion
}

// openCalls is how many calls to the discovery in force have told nothing yet.
func (d *lists) openCalls() (open int) {
	for _, c := range d.calls {
		if c.moves == d.moves {
			open++
		}
	}
	return open
}

// takenIn tells whether a call to the discovery in force stands open that it has taken in.
func (d *lists) takenIn(now time.Time) bool {
	for _, c := range d.calls {
		if c.moves == d.moves && now.Sub(c.began) >= takenInAfter {
			return true
		}
	}
	return false
}

// age is how long ago a call began that has told nothing yet; 0 for any other.
func (d *lists) age(number int) time.Duration {
	if c, open := d.calls[number]; open {
		return time.Since(c.began)
	}
	return 0
}

// call makes one more call to the discovery in force; so many may be open. A timer of the module that was set before a list was heard must not
// make another.
func (d *lists) call(ctx context.Context, openMost int, post func(event)) bool {
	if d.current.live() {
		return false
	}
	if d.openCalls() >= openMost {
		d.dropNewestCall()
	}
	d.last++
	number, after := d.last, d.version
	c := &callError{Addr: d.addr, Began: time.Now()}
	ctx, stop := context.WithCancel(ctx)
	d.calls[number] = openCall{began: c.Began, moves: d.moves, stop: stop}
	go func() {
		defer stop()
		reached := func(answering bool) {
			if ctx.Err() == nil {
				post(listReached{watch: number, answering: answering})
			}
		}
		c.Cause = d.follow(ctx, after, c, reached, func(i inventory) { post(listing{inventory: i, watch: number}) })
		if ctx.Err() == nil {
			c.Took = time.Since(c.Began)
			post(listLost{watch: number, cause: c})
		}
	}()
	return true
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

// follow hands on each line of one watch until it ends; a watch that says nothing for over a beat has ended. How far it came
// is noted in c; reached is told that discovery has taken the call in, and that its answer has begun.
func (d *lists) follow(ctx context.Context, after int64, c *callError, reached func(answering bool), each func(inventory)) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic in the watch: %v", fault)
		}
	}()
	dialled, err := (&net.Dialer{Timeout: min(dialLast, d.answerLast()), KeepAlive: -1}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	c.Stage = awaitingHead
	conn := &hearing{Conn: dialled, silence: d.silence}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(c.Began.Add(d.answerLast())) // dialling takes its part of the time for the first word
	ask := "/discovery/hosts?watch=1"
	if after >= 0 {
		ask += "&after=" + strconv.FormatInt(after, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", ask, c.Addr); err != nil {
		return err
	}
	takenIn := time.AfterFunc(takenInAfter, func() { reached(false) })
	defer takenIn.Stop()
	most := &io.LimitedReader{R: conn, N: listMost} // bounds a head or a line without end
	got, err := http.ReadResponse(bufio.NewReader(most), nil)
	if err != nil {
		return err
	}
	if got.StatusCode != http.StatusOK {
		return statusError(got.Status)
	}
	reached(true)
	c.Stage = awaitingList
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
				c.Heard = time.Now()
				conn.SetDeadline(c.Heard.Add(d.silence))
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
			c.Stage = following
		}
		conn.inside = said.depth > 0
		if conn.inside {
			c.Stage = insideList
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
