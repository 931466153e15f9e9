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
	heartbeatInterval    = 2 * time.Second
	watchSilenceTimeout  = heartbeatInterval + heartbeatInterval/4 // over a beat, and early enough to ask again before news count as told
	partialLineTimeout   = heartbeatInterval / 4                   // from part of a line to more of it
	maxListBytes         = 4 << 20
	maxLateReads         = 16
	lateReadTimeout      = heartbeatInterval / 200
	discoveryDialTimeout = heartbeatInterval // connections may come up late; the next call does not wait for this one
	// takenInAfter is when a call counts as taken in by discovery that was sent and is not refused.
	callAcceptedAfter = 300 * time.Millisecond

	// A change counts as notified so long after discovery had it and could be reached, whatever failed before; after a new
	// configuration; after a watch ended in place of telling, as a long poll does. The module keeps these as deadlines.
	notifiedAfterReached = 6 * time.Second
	notifiedAfterMoved   = 4 * time.Second
	notifiedAfterEnded   = 2 * time.Second
	// longestWait is between two calls that fail at once: several have to fit wherever discovery's return may lie.
	maxCallInterval = notifiedAfterReached / 5
)

// answerLast is how long a call waits for its first list: logic.AnswerPatience, or less where silence was set to less.
func (d *discoveryClient) firstListTimeout() time.Duration {
	if injectedFault == "impatient" {
		return time.Second
	}
	return min(time.Duration(logic.AnswerTimeout)*time.Millisecond, d.silenceTimeout*firstListSilences)
}

// answerSilences is answerLast in times of the silence after which a watch has ended.
const firstListSilences = 12

// entry is one entry of a list.
type listEntry struct {
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
const fromPusher = 0

// inventory is a list or a change of it.
type endpointList struct {
	version int64
	full    bool
	servers []listEntry
}

var errNotAList = errors.New("not a list")

func decodeList(v *fastjson.Value) (endpointList, error) {
	servers := v.Get("servers")
	if servers == nil || servers.Type() != fastjson.TypeArray {
		return endpointList{}, errNotAList
	}
	list := endpointList{version: noVersion, full: v.GetBool("full")}
	if n := v.Get("version"); n != nil && n.Type() == fastjson.TypeNumber {
		list.version = n.GetInt64()
	}
	for _, e := range servers.GetArray() {
		entry := listEntry{
			id: string(e.GetStringBytes("id")), addr: string(e.GetStringBytes("addr")),
			zone: string(e.GetStringBytes("zone")), kind: string(e.GetStringBytes("kind")), cell: logic.CellID(e.GetInt("cell")),
			running: string(e.GetStringBytes("state")) == "in_service" || injectedFault == "drains" && string(e.GetStringBytes("state")) == "terminating",
			gone:    string(e.GetStringBytes("state")) == "terminated",
			weight:  e.GetFloat64("weight"), started: terms.Millis(e, "started_ms"),
		}
		if injectedFault == "cold" {
			entry.started = 0
		}
		if entry.id == "" {
			return endpointList{}, errNotAList
		}
		list.servers = append(list.servers, entry)
	}
	return list, nil
}

// encode writes a whole list in discovery's form.
func encodeList(a *fastjson.Arena, list endpointList) *fastjson.Value {
	servers, object := a.NewArray(), a.NewObject()
	for n, e := range list.servers {
		server, state := a.NewObject(), "terminating"
		if e.running {
			state = "in_service"
		}
		server.Set("id", a.NewString(e.id))
		server.Set("addr", a.NewString(e.addr))
		server.Set("zone", a.NewString(e.zone))
		server.Set("kind", a.NewString(e.kind))
		server.Set("cell", a.NewNumberInt(int(e.cell)))
		server.Set("state", a.NewString(state))
		server.Set("weight", a.NewNumberFloat64(e.weight))
		server.Set("started_ms", a.NewNumberFloat64(float64(e.started)))
		servers.SetArrayItem(n, server)
	}
	object.Set("version", a.NewNumberString(strconv.FormatInt(list.version, 10)))
	object.Set("servers", servers)
	return object
}

// lists follows discovery. All but each call's own goroutine belongs to the loop.
type discoveryClient struct {
	addr           string
	silenceTimeout time.Duration
	names          *terms.Names
	version        int64            // by this discovery's own count; noVersion asks for the whole list
	calls          map[int]openCall // that have told nothing yet, by number, to this discovery and to those before
	lastCall       int              // number of the last call
	generation     int              // configurations that named another discovery
	// When the configuration in force was read, here or by a sibling, on the machine's monotonic clock, and when the last one that came
	// while the process ran was; 0 for none. Siblings are told of the latter: what a process was started with is not news to the others.
	configuredAt, reloadedAt time.Duration
	current                  openWatch // the watch in force
	previous                 openWatch // of the discovery before, believed until the new one has told its list
	siblingWatches           bool      // another process of this sidecar has a watch of the discovery in force
	outage                   outage
	listed                   map[logic.EndpointID]bool // true: by the last whole list or since
	hadAddr                  map[logic.EndpointID]bool // had an address once
	entries                  map[logic.EndpointID]listEntry
	drained                  map[logic.EndpointID]drainRecord
}

// drain is that an endpoint was told to drain or to be gone. It outlasts the watch that told it, for the next one may begin
// with a list from before: of a replica that lags, or of another discovery.
type drainRecord struct {
	version    int64 // of the list that told it
	started    logic.Millis
	recordedAt time.Time
}

// drainKept is for how long a drain stands against older lists: far longer than an endpoint takes to end.
const drainRetention = time.Minute

// openCall is a call to discovery that has told nothing yet.
type openCall struct {
	began      time.Time
	generation int // as they were when it began: less than now, and another discovery was in force
	cancel     context.CancelFunc
}

// watch is a call that has told a list. Its zero value is none.
type openWatch struct {
	call   int
	cancel context.CancelFunc
}

// live tells that it has not ended.
func (w *openWatch) isOpen() bool { return w.call != 0 }

func (w *openWatch) close() {
	if w.cancel != nil {
		w.cancel()
	}
	*w = openWatch{}
}

// inventory is the list as it stands.
func (d *discoveryClient) snapshot() endpointList {
	list := endpointList{version: d.version, full: true}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		list.servers = append(list.servers, d.entries[id])
	}
	return list
}

func newDiscoveryClient(addr string, silenceTimeout time.Duration, names *terms.Names) *discoveryClient {
	return &discoveryClient{
		addr: addr, version: noVersion, silenceTimeout: silenceTimeout, names: names, calls: map[int]openCall{}, listed: map[logic.EndpointID]bool{},
		hadAddr: map[logic.EndpointID]bool{}, entries: map[logic.EndpointID]listEntry{}, drained: map[logic.EndpointID]drainRecord{},
	}
}

func (d *discoveryClient) markAllUnlisted() {
	for id := range d.listed {
		d.listed[id] = false
	}
}

func (d *discoveryClient) recordEntry(id logic.EndpointID, e listEntry) {
	if e.addr == "" {
		e.addr = d.entries[id].addr
	}
	d.listed[id], d.entries[id] = true, e
}

// drop lets go of all that is held of an endpoint: ids are ever new, and never come back.
func (d *discoveryClient) forget(id logic.EndpointID) {
	delete(d.listed, id)
	delete(d.hadAddr, id)
	delete(d.entries, id)
}

// known tells whether there is an address to send to.
func (d *discoveryClient) hasAddr(id logic.EndpointID, addr string) bool {
	d.hadAddr[id] = d.hadAddr[id] || addr != ""
	return d.hadAddr[id]
}

// missing drops what a whole list of this version did not name.
func (d *discoveryClient) removeUnlisted(version int64, now time.Time) (gone []logic.EndpointID) {
	for id, listed := range d.listed {
		if !listed {
			gone = append(gone, id)
			d.recordDrain(id, 0, version, now)
			d.forget(id)
		}
	}
	return gone
}

// move turns to another discovery. The old one goes on telling for a moment: a drain in its last words counts as told, and
// must not be thrown away while the new one is still being asked. The same goes for the calls to it that are open: discovery
// does their work whether or not they are given up. The discovery that is turned back to is called anew too: what its old
// watch missed in between would not be noticed.
func (d *discoveryClient) switchTo(addr string) (switched bool) {
	if addr == d.addr {
		return false
	}
	// Nothing says that the new one counts on from the old one's versions: it is asked for the whole list.
	d.addr, d.version = addr, noVersion
	d.generation++
	if d.current.isOpen() {
		d.previous.close()
		d.previous, d.current = d.current, openWatch{}
	}
	d.current.close()
	d.cancelExcessPreviousCalls()
	return true
}

// oldCallsMost bounds the open calls to discoveries that are no longer in force.
const maxPreviousCalls = 4

// dropOldCalls gives up the oldest calls to earlier discoveries beyond their bound.
func (d *discoveryClient) cancelExcessPreviousCalls() {
	var previous []int
	for call, c := range d.calls {
		if c.generation != d.generation {
			previous = append(previous, call)
		}
	}
	slices.Sort(previous)
	for _, call := range previous[:max(len(previous)-maxPreviousCalls, 0)] {
		d.calls[call].cancel()
		delete(d.calls, call)
	}
}

// dropNewestCall gives up the newest open call to the discovery in force: those before it keep their places in the queue.
func (d *discoveryClient) cancelNewestCall() {
	newest := 0
	for call, c := range d.calls {
		if c.generation == d.generation {
			newest = max(newest, call)
		}
	}
	if c, open := d.calls[newest]; open {
		c.cancel()
		delete(d.calls, newest)
	}
}

func (d *discoveryClient) cancelCalls() {
	for _, c := range d.calls {
		c.cancel()
	}
	clear(d.calls)
}

// believes tells whether what a call says still counts, and whether it is the first word of a watch that is now in force.
// The new discovery's first word ends all that the one before still says.
func (d *discoveryClient) acceptFrom(call int) (accepted, first bool) {
	c, open := d.calls[call]
	switch {
	case call == fromPusher:
		return d.lastCall == 0, false
	case call == fromSibling:
		return true, false
	case call == d.current.call || call == d.previous.call:
		return true, false
	case !open:
		return false, false
	}
	delete(d.calls, call)
	opened := openWatch{call: call, cancel: c.cancel}
	if c.generation != d.generation {
		d.previous.close()
		d.previous = opened
		return true, false
	}
	d.previous.close()
	d.cancelCalls()
	d.current = opened
	return true, true
}

// drains books an endpoint that is not in service by a list of this version. An older word of it takes nothing back.
func (d *discoveryClient) recordDrain(id logic.EndpointID, started logic.Millis, version int64, now time.Time) {
	earlier := d.drained[id]
	d.drained[id] = drainRecord{
		version: max(version, earlier.version), started: max(started, earlier.started, d.entries[id].started), recordedAt: now,
	}
}

// stillDrains tells that a list from before an endpoint's drain calls it in service. A later start ends the drain.
func (d *discoveryClient) stillDrained(e listEntry, version int64) bool {
	record, drained := d.drained[logic.EndpointID(e.id)]
	switch {
	case !drained || !e.running:
		return false
	case version < 0 || version >= record.version || e.started > record.started:
		delete(d.drained, logic.EndpointID(e.id))
		return false
	}
	return true
}

// forgetDrains lets go of those that have stood for their time.
func (d *discoveryClient) expireDrains(now time.Time) {
	maps.DeleteFunc(d.drained, func(_ logic.EndpointID, record drainRecord) bool { return now.Sub(record.recordedAt) > drainRetention })
}

// older tells that a list comes from before what this watch, or the one before it, has told already.
func (d *discoveryClient) isOlder(e listReceived) bool {
	return !e.fromDisk && e.call == d.current.call && e.version >= 0 && e.version < d.version
}

// again has the whole list asked for anew: what was told does not add up.
func (d *discoveryClient) requestWholeList() {
	d.current.close()
	d.version = noVersion
}

// openCalls is how many calls to the discovery in force have told nothing yet.
func (d *discoveryClient) openCallCount() (open int) {
	for _, c := range d.calls {
		if c.generation == d.generation {
			open++
		}
	}
	return open
}

// takenIn tells whether a call to the discovery in force stands open that it has taken in.
func (d *discoveryClient) hasAcceptedCall(now time.Time) bool {
	for _, c := range d.calls {
		if c.generation == d.generation && now.Sub(c.began) >= callAcceptedAfter {
			return true
		}
	}
	return false
}

// age is how long ago a call began that has told nothing yet; 0 for any other.
func (d *discoveryClient) callAge(call int) time.Duration {
	if c, open := d.calls[call]; open {
		return time.Since(c.began)
	}
	return 0
}

// call makes one more call to the discovery in force; so many may be open. A timer of the module that was set before a list was heard must not
// make another.
func (d *discoveryClient) startCall(ctx context.Context, maxOpen int, post func(event)) bool {
	if d.current.isOpen() {
		return false
	}
	if d.openCallCount() >= maxOpen {
		d.cancelNewestCall()
	}
	d.lastCall++
	call, afterVersion := d.lastCall, d.version
	outcome := &callError{Addr: d.addr, Began: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	d.calls[call] = openCall{began: outcome.Began, generation: d.generation, cancel: cancel}
	go func() {
		defer cancel()
		accepted := func(answering bool) {
			if ctx.Err() == nil {
				post(discoveryCallAccepted{call: call, answering: answering})
			}
		}
		outcome.Cause = d.follow(ctx, afterVersion, outcome, accepted, func(list endpointList) { post(listReceived{endpointList: list, call: call}) })
		if ctx.Err() == nil {
			outcome.Duration = time.Since(outcome.Began)
			post(discoveryCallEnded{call: call, cause: outcome})
		}
	}()
	return true
}

// hearing reads what discovery says. A process that stood still for a while finds its time over and news unread, which
// count as told: a drain in them would be broken, were they thrown away with the watch.
//
// A line that began must go on at once. A discovery that stops in the middle of one would keep its news for as long as
// one that has none, though they are there to be asked for.
type watchReader struct {
	net.Conn
	silenceTimeout time.Duration
	lateReads      int       // reads past their time since the last line
	midLine        bool      // the last read ended inside a line
	midObject      bool      // what was read so far ends inside an object, which may stand on several lines
	partialSince   time.Time // when the line or the object that is read began; zero between two
}

// goOn is until when more of what began has to come. It has no longer than silence in all: a discovery that says a byte now
// and then would keep its news for ever.
func (r *watchReader) continueBy() time.Time {
	now := time.Now()
	if r.partialSince.IsZero() {
		r.partialSince = now
	}
	completeBy, continueBy := r.partialSince.Add(r.silenceTimeout), now.Add(min(partialLineTimeout, r.silenceTimeout))
	if continueBy.Before(completeBy) {
		return continueBy
	}
	return completeBy
}

func (r *watchReader) Read(p []byte) (int, error) {
	switch {
	case r.midObject:
		r.SetReadDeadline(r.continueBy())
	case !r.midLine:
		r.partialSince = time.Time{}
	}
	n, err := r.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.lateReads < maxLateReads {
		r.lateReads++
		r.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err = r.Conn.Read(p)
	}
	if n > 0 && p[n-1] != '\n' {
		r.midLine = true
		r.SetReadDeadline(r.continueBy())
	} else if n > 0 && r.midLine {
		r.midLine = false
		r.SetReadDeadline(time.Now().Add(r.silenceTimeout))
	}
	return n, err
}

// follow hands on each line of one watch until it ends; a watch that says nothing for over a beat has ended. How far it came
// is noted in c; reached is told that discovery has taken the call in, and that its answer has begun.
func (d *discoveryClient) follow(ctx context.Context, afterVersion int64, outcome *callError, accepted func(answering bool), each func(endpointList)) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("panic in the watch: %v", fault)
		}
	}()
	dialled, err := (&net.Dialer{Timeout: min(discoveryDialTimeout, d.firstListTimeout()), KeepAlive: -1}).DialContext(ctx, "tcp", outcome.Addr)
	if err != nil {
		return err
	}
	outcome.Stage = awaitingHead
	conn := &watchReader{Conn: dialled, silenceTimeout: d.silenceTimeout}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(outcome.Began.Add(d.firstListTimeout())) // dialling takes its part of the time for the first word
	target := "/discovery/hosts?watch=1"
	if afterVersion >= 0 {
		target += "&after=" + strconv.FormatInt(afterVersion, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, outcome.Addr); err != nil {
		return err
	}
	acceptedTimer := time.AfterFunc(callAcceptedAfter, func() { accepted(false) })
	defer acceptedTimer.Stop()
	limited := &io.LimitedReader{R: conn, N: maxListBytes} // bounds a head or a line without end
	response, err := http.ReadResponse(bufio.NewReader(limited), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.Status)
	}
	accepted(true)
	outcome.Stage = awaitingList
	var parser fastjson.Parser
	var splitter objectSplitter
	for buffer := make([]byte, 8<<10); ; {
		n, err := response.Body.Read(buffer)
		for rest := buffer[:n]; len(rest) > 0; {
			object, heartbeat, after, err := splitter.next(rest)
			if err != nil {
				return err
			}
			if rest = after; object != nil || heartbeat {
				outcome.LastHeard = time.Now()
				conn.SetDeadline(outcome.LastHeard.Add(d.silenceTimeout))
				limited.N, conn.lateReads = maxListBytes, 0
			}
			if object == nil {
				continue
			}
			v, err := parser.ParseBytes(object)
			if err != nil {
				return err
			}
			list, err := decodeList(v)
			if err != nil {
				return err
			}
			each(list)
			outcome.Stage = following
		}
		conn.midObject = splitter.depth > 0
		if conn.midObject {
			outcome.Stage = insideList
		}
		if err != nil {
			return err
		}
	}
}

// words cuts what a watch says into objects, one a line or each over several, and the empty lines between them.
type objectSplitter struct {
	pending           []byte
	depth             int
	inString, escaped bool
}

// next takes p up to the end of an object, which it returns, or of a line between two, which is a beat.
func (s *objectSplitter) next(p []byte) (object []byte, heartbeat bool, rest []byte, err error) {
	for n, c := range p {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString:
			s.escaped, s.inString = c == '\\', c != '"'
		case s.depth == 0 && (c == ' ' || c == '\t' || c == '\r'):
		case s.depth == 0 && c == '\n':
			return nil, true, p[n+1:], nil
		case s.depth == 0 && c != '{':
			return nil, false, nil, errNotAList
		case c == '"':
			s.inString = true
		case c == '{' || c == '[':
			s.depth++
		case c == '}' || c == ']':
			if s.depth--; s.depth == 0 {
				object = append(s.pending, p[:n+1]...)
				s.pending = object[:0]
				return object, false, p[n+1:], nil
			}
		}
	}
	if s.depth > 0 {
		s.pending = append(s.pending, p...)
	}
	if len(s.pending) > maxListBytes {
		err = errNotAList
	}
	return nil, false, nil, err
}
