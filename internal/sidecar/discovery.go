// Discovery: the client that fetches the list of endpoints. This file owns the decoding of lists, the watch, and the
// record of which endpoints are listed. It must never judge an endpoint's health, nor call discovery again by itself:
// it reports a failed call to the module, which decides when to call.
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
	// heartbeatInterval is how often discovery sends at least an empty line on a watch.
	heartbeatInterval = 2 * time.Second
	// watchSilenceTimeout ends a watch. It exceeds heartbeatInterval, and leaves time to call again before a missed
	// change counts as notified.
	watchSilenceTimeout = heartbeatInterval + heartbeatInterval/4
	// partialLineTimeout bounds the wait between two parts of a line.
	partialLineTimeout = heartbeatInterval / 4
	// maxListBytes bounds a response head, a line, and a list.
	maxListBytes = 4 << 20
	// maxLateReads bounds the reads after the deadline, counted from the last line.
	maxLateReads = 16
	// lateReadTimeout bounds each of these reads, which only has to fetch what has already arrived.
	lateReadTimeout = heartbeatInterval / 200
	// discoveryDialTimeout is generous because connections may be accepted late; the next call does not wait for this
	// one.
	discoveryDialTimeout = heartbeatInterval
	// callAcceptedAfter is the time after which a call that was sent and not refused counts as accepted by discovery.
	callAcceptedAfter = 300 * time.Millisecond

	// notifiedAfterReached is the time after which a change counts as notified, from when discovery had it and could be
	// reached, whatever failed before. The module keeps this bound and the following two as deadlines.
	notifiedAfterReached = 6 * time.Second
	// notifiedAfterMoved is the same bound, from a configuration that names another discovery.
	notifiedAfterMoved = 4 * time.Second
	// notifiedAfterEnded is the same bound, from the end of a watch that ended instead of sending the change, as a long
	// poll does.
	notifiedAfterEnded = 2 * time.Second
	// maxCallInterval bounds the pause after a call that failed at once. Several calls have to fit into
	// notifiedAfterReached, whenever in that time discovery becomes reachable again.
	maxCallInterval = notifiedAfterReached / 5
)

// firstListTimeout returns how long a call waits for its first list: logic.AnswerTimeout, or firstListSilences times the
// silence timeout if that is less.
func (d *discoveryClient) firstListTimeout() time.Duration {
	if injectedFault == "impatient" {
		return time.Second
	}
	return min(time.Duration(logic.AnswerTimeout)*time.Millisecond, d.silenceTimeout*firstListSilences)
}

// firstListSilences bounds firstListTimeout in multiples of the silence timeout.
const firstListSilences = 12

// listEntry is one endpoint in a list.
type listEntry struct {
	id      string
	addr    string
	zone    string
	kind    string // of machine
	cell    logic.CellID
	running bool // in service
	gone    bool // terminated
	weight  float64
	started logic.Millis // when the endpoint started, by the list
}

// noVersion stands for no list. It is not 0, which may well be the version of the first list: if every process of a
// fleet asked for the whole list again at each restart, discovery would write every line to all of them and have no
// time left for changes.
const noVersion = -1

// fromPusher stands in place of a call's number for lists that are pushed without a call.
const fromPusher = 0

// endpointList is a whole list or a change of it.
type endpointList struct {
	version int64
	full    bool // a whole list: endpoints that it does not name are gone
	servers []listEntry
}

var errNotAList = errors.New("not a list of endpoints in discovery's format")

// decodeList parses a list, or a change of it, in discovery's format.
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

// encodeList returns a whole list in discovery's format.
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

// discoveryClient follows discovery's list of endpoints. It belongs to the loop, except for the goroutine of each call.
type discoveryClient struct {
	addr           string // of the discovery in force
	silenceTimeout time.Duration
	names          *terms.Names     // numbers of zones and kinds of machine
	version        int64            // in the numbering of the discovery in force; with noVersion a call asks for the whole list
	calls          map[int]openCall // calls that have sent no list yet, by number, to this discovery and to previous ones
	lastCall       int              // number of the last call
	generation     int              // number of configurations that named another discovery
	// configuredAt is when the configuration in force was read, by this process or a sibling, on the machine's
	// monotonic clock.
	configuredAt time.Duration
	// reloadedAt is when the last configuration was read that came while the process ran; 0 for none. Siblings get this
	// one, since the configuration that a process started with is nothing new to them.
	reloadedAt     time.Duration
	current        openWatch // of the discovery in force
	previous       openWatch // of the previous discovery; its updates apply until the new one has sent a list
	siblingWatches bool      // another process of this sidecar has a watch of the discovery in force
	outage         outage
	listed         map[logic.EndpointID]bool        // true if named by the last whole list or a later change
	hadAddr        map[logic.EndpointID]bool        // true if an address was ever listed
	entries        map[logic.EndpointID]listEntry   // as listed last
	owners         addressOwners                    // of the addresses of endpoints in service
	drained        map[logic.EndpointID]drainRecord // endpoints listed as draining or gone
}

// drainRecord notes that an endpoint was listed as draining or gone. It outlives the watch that sent this, since the
// next watch may start with an older list: one of a replica that lags, or of another discovery.
type drainRecord struct {
	version    int64        // of the list with the drain
	started    logic.Millis // latest known start of the endpoint; a later one ends the drain
	recordedAt time.Time
}

// drainRetention is how long a drain takes precedence over older lists: far longer than an endpoint takes to terminate.
const drainRetention = time.Minute

// openCall is a call to discovery that has sent no list yet.
type openCall struct {
	began      time.Time
	generation int // of the client when the call began; a lower one than the present means a call to a previous discovery
	cancel     context.CancelFunc
}

// openWatch is a call that has sent a list and has not ended. Its zero value is no watch.
type openWatch struct {
	call   int // number of the call
	cancel context.CancelFunc
}

func (w *openWatch) isOpen() bool { return w.call != 0 }

func (w *openWatch) close() {
	if w.cancel != nil {
		w.cancel()
	}
	*w = openWatch{}
}

// snapshot returns the current list.
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
		hadAddr: map[logic.EndpointID]bool{}, entries: map[logic.EndpointID]listEntry{}, owners: addressOwners{}, drained: map[logic.EndpointID]drainRecord{},
	}
}

func (d *discoveryClient) markAllUnlisted() {
	for id := range d.listed {
		d.listed[id] = false
	}
}

// recordEntry stores an entry as listed. An entry without an address keeps the known one.
func (d *discoveryClient) recordEntry(id logic.EndpointID, e listEntry) {
	if e.addr == "" {
		e.addr = d.entries[id].addr
	}
	d.listed[id], d.entries[id] = true, e
}

// forget deletes all that is stored about an endpoint that is gone. Ids are never reused: a new endpoint always has a
// new one.
func (d *discoveryClient) forget(id logic.EndpointID) {
	d.owners.release(id, d.entries[id].addr)
	delete(d.listed, id)
	delete(d.hadAddr, id)
	delete(d.entries, id)
}

// hasAddr reports whether an address of the endpoint is known, from this entry or an earlier one.
func (d *discoveryClient) hasAddr(id logic.EndpointID, addr string) bool {
	d.hadAddr[id] = d.hadAddr[id] || addr != ""
	return d.hadAddr[id]
}

// removeUnlisted deletes and returns the endpoints that a whole list of this version did not name.
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

// switchTo makes another discovery the one in force. The watch of the old one stays open until the new one has sent a
// list: a drain in its last updates counts as notified and must not be lost while the new discovery is being called.
// Open calls to the old discovery are kept for the same reason, and because a service does the work of a call whether
// or not it is cancelled. A discovery that is switched back to is called anew as well: what its old watch missed in
// between would go unnoticed.
func (d *discoveryClient) switchTo(addr string) (switched bool) {
	if addr == d.addr {
		return false
	}
	// The new discovery may number its versions differently, so it is asked for the whole list.
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

// maxPreviousCalls bounds the open calls to discoveries that are no longer in force.
const maxPreviousCalls = 4

// cancelExcessPreviousCalls cancels the oldest calls to previous discoveries beyond maxPreviousCalls.
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

// cancelNewestCall cancels the newest open call to the discovery in force. The older calls keep their places in its
// queue.
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

// acceptFrom reports whether a list from this call applies, and whether it is the first one of a watch that is in force
// from now on. The first list of the discovery in force closes the watch of the previous one and all open calls.
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

// recordDrain records that a list of this version has an endpoint as not in service. An older list lowers neither the
// version nor the start that were recorded.
func (d *discoveryClient) recordDrain(id logic.EndpointID, started logic.Millis, version int64, now time.Time) {
	earlier := d.drained[id]
	d.drained[id] = drainRecord{
		version: max(version, earlier.version), started: max(started, earlier.started, d.entries[id].started), recordedAt: now,
	}
}

// stillDrained reports whether an entry that has an endpoint in service is from a list older than the endpoint's drain.
// A list at least as new as the drain, or a later start of the endpoint, ends the drain.
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

// expireDrains deletes the drains that are older than drainRetention.
func (d *discoveryClient) expireDrains(now time.Time) {
	maps.DeleteFunc(d.drained, func(_ logic.EndpointID, record drainRecord) bool { return now.Sub(record.recordedAt) > drainRetention })
}

// isOlder reports whether a list has a lower version than one that this watch, or the one before it, has sent already.
func (d *discoveryClient) isOlder(e listReceived) bool {
	return !e.fromDisk && e.call == d.current.call && e.version >= 0 && e.version < d.version
}

// requestWholeList closes the watch and makes the next call ask for the whole list, because the updates so far are
// inconsistent.
func (d *discoveryClient) requestWholeList() {
	d.current.close()
	d.version = noVersion
}

// openCallCount returns how many calls to the discovery in force have sent no list yet.
func (d *discoveryClient) openCallCount() (open int) {
	for _, c := range d.calls {
		if c.generation == d.generation {
			open++
		}
	}
	return open
}

// hasAcceptedCall reports whether there is an open call that the discovery in force has accepted.
func (d *discoveryClient) hasAcceptedCall(now time.Time) bool {
	for _, c := range d.calls {
		if c.generation == d.generation && now.Sub(c.began) >= callAcceptedAfter {
			return true
		}
	}
	return false
}

// callAge returns how long ago a call began that has sent no list yet; 0 for any other call.
func (d *discoveryClient) callAge(call int) time.Duration {
	if c, open := d.calls[call]; open {
		return time.Since(c.began)
	}
	return 0
}

// startCall makes one more call to the discovery in force, of which at most maxOpen are open at a time: beyond that it
// cancels the newest one. It does nothing and returns false while a watch is open: the module's timer may have been set
// before the list came.
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

// watchReader reads discovery's answer. After a stall of the process the read deadline may be over while updates are
// unread. These count as notified, so they are still read: if they were dropped with the watch, requests would go to an
// endpoint that they drain.
//
// A line that has started must continue within partialLineTimeout. Otherwise a discovery that stops in the middle of a
// line would hold its update back for as long as one that has none, though a new call would get it.
type watchReader struct {
	net.Conn
	silenceTimeout time.Duration
	lateReads      int       // reads after their deadline since the last line
	midLine        bool      // the last read ended inside a line
	midObject      bool      // the last read ended inside an object, which may extend over several lines
	partialSince   time.Time // start of the incomplete line or object; zero between two
}

// continueBy returns the time by which the next part of an incomplete line or object must arrive. The whole must be
// complete within the silence timeout: a discovery that sends a byte now and then could hold its update back for ever.
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

// follow makes one call and passes each list or change in its answer to each, until the answer ends or nothing was
// received for the silence timeout. It records in outcome how far the call came. It calls accepted with false once
// discovery has accepted the call, and with true when the answer starts.
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
	conn.SetDeadline(outcome.Began.Add(d.firstListTimeout())) // the time for dialling is part of it
	target := "/discovery/hosts?watch=1"
	if afterVersion >= 0 {
		target += "&after=" + strconv.FormatInt(afterVersion, 10)
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, outcome.Addr); err != nil {
		return err
	}
	acceptedTimer := time.AfterFunc(callAcceptedAfter, func() { accepted(false) })
	defer acceptedTimer.Stop()
	limited := &io.LimitedReader{R: conn, N: maxListBytes} // bounds a head or a line that never ends
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
			object, heartbeat, remainder, err := splitter.next(rest)
			if err != nil {
				return err
			}
			if rest = remainder; object != nil || heartbeat {
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

// objectSplitter splits a watch's stream into JSON objects, each on one line or over several, and the empty lines between
// them, which are heartbeats.
type objectSplitter struct {
	pending  []byte // start of an incomplete object
	depth    int    // of nested objects and arrays
	inString bool
	escaped  bool // the next byte follows a backslash
}

// next consumes p up to the end of an object, which it returns, or up to the end of an empty line, for which heartbeat
// is true. It returns neither if p ends before.
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
