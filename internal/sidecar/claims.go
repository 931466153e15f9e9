// This file keeps a request from running at two processes of one sidecar during an upgrade. Before the first byte of a request's
// first attempt, a process claims the request's id: it tells its siblings, reads all that they have told, and gives the request up
// if one of them has claimed the id. As each tells before it reads, at least one of two processes that have the same id at once
// sees the other's claim. Both steps wait for this process only: what is told lies in the kernel's buffer, be the sibling alive or
// not. Invariant: a sibling that hangs keeps requests from being sent for claimTimeout at the most, once.

package sidecar

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// claimTimeout bounds the wait for each of the two steps of a claim. The connection to a sibling whose buffer is full for so long
	// is closed.
	claimTimeout = siblingTimeout
	// claimReadInterval is the time between two looks whether all that a sibling told has been read.
	claimReadInterval = 100 * time.Microsecond
	// firstClaimsTimeout bounds the wait for the claims that a predecessor made before it was connected.
	firstClaimsTimeout = 500 * time.Millisecond
	// maxKnownClaims bounds the ids of siblings that are kept.
	maxKnownClaims = 2 * maxFinishedIDs
	// maxClaimsPerLine bounds the ids in one update.
	maxClaimsPerLine = 500
)

// errClaimedElsewhere says that another process of this sidecar has the request, or had it.
var errClaimedElsewhere = errors.New("another process of this sidecar has a request of this id")

// idSet holds the last ids that were added. Its methods may be called by any goroutine.
type idSet struct {
	mu    sync.Mutex
	known map[string]bool
	order []string // oldest first
}

func (s *idSet) add(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]bool{}
	}
	for _, id := range ids {
		if s.known[id] {
			continue
		}
		s.known[id] = true
		s.order = append(s.order, id)
	}
	for len(s.order) > maxKnownClaims {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
}

// remove forgets ids; their places in the order are left to expire.
func (s *idSet) remove(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.known, id)
	}
}

func (s *idSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}

// all returns the ids, oldest first.
func (s *idSet) all() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.order {
		if s.known[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// claimUpdate is a change of a process's claims, to be told to a sibling.
type claimUpdate struct {
	claimed  []string
	released []string      // claimed, but known not to have run
	complete bool          // all earlier claims have been told
	told     chan struct{} // closed when it has been written; nil if nobody waits
}

// encode adds the update to an object that is sent to a sibling.
func (u claimUpdate) encode(a *fastjson.Arena, v *fastjson.Value) {
	for name, ids := range map[string][]string{"claimed": u.claimed, "released": u.released} {
		if len(ids) == 0 {
			continue
		}
		list := a.NewArray()
		for n, id := range ids {
			list.SetArrayItem(n, a.NewString(id))
		}
		v.Set(name, list)
	}
	if u.complete {
		v.Set("claims_complete", a.NewTrue())
	}
}

// decodeClaims reads a claimUpdate from a line of a sibling.
func decodeClaims(v *fastjson.Value) (u claimUpdate) {
	read := func(name string) (ids []string) {
		for _, id := range v.GetArray(name) {
			ids = append(ids, string(id.GetStringBytes()))
		}
		return ids
	}
	return claimUpdate{claimed: read("claimed"), released: read("released"), complete: v.GetBool("claims_complete")}
}

func (u claimUpdate) isEmpty() bool { return len(u.claimed)+len(u.released) == 0 && !u.complete }

// siblingSource reads from a sibling and knows when all that the sibling has written was handled: the reader comes back for more
// only then.
type siblingSource struct {
	raw     syscall.RawConn
	taking  atomic.Bool  // bytes are being taken from the kernel
	read    atomic.Int64 // bytes that were taken from the kernel
	handled atomic.Int64 // of these, those that the reader has dealt with
}

func newSiblingReader(conn *net.UnixConn) (*bufio.Reader, *siblingSource, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, nil, err
	}
	source := &siblingSource{raw: raw}
	return bufio.NewReader(source), source, nil
}

// Read reads what is there, and waits if there is nothing. Its caller has dealt with all that earlier calls returned.
func (s *siblingSource) Read(p []byte) (n int, err error) {
	s.handled.Store(s.read.Load())
	waitErr := s.raw.Read(func(fd uintptr) bool {
		s.taking.Store(true)
		n, err = unix.Read(int(fd), p)
		if n > 0 {
			s.read.Add(int64(n))
		}
		s.taking.Store(false)
		return err != unix.EAGAIN && err != unix.EINTR
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n <= 0:
		return 0, net.ErrClosed
	}
	return n, nil
}

// written returns how many bytes the sibling has written up to now; false if the connection has ended here.
func (s *siblingSource) written() (total int64, open bool) {
	for {
		settled, before, unread := !s.taking.Load(), s.read.Load(), 0
		if err := s.raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
			return 0, false
		}
		if settled && !s.taking.Load() && s.read.Load() == before { // otherwise the reader has taken some in between
			return before + int64(unread), true
		}
		runtime.Gosched()
	}
}

// connected returns the other processes that are connected.
func (p *processGroup) connected() (others []*sibling) {
	predecessor, successor, _ := p.siblings()
	for _, other := range []*sibling{predecessor, successor} {
		if other != nil {
			others = append(others, other)
		}
	}
	return others
}

// claim claims the id of a request whose first attempt is about to start. It returns false if a sibling has claimed it.
func (p *processGroup) claim(id string) bool {
	if !p.hasSibling.Load() {
		return !p.claimedElsewhere.has(id) // by one that is gone
	}
	others := p.connected()
	for _, other := range others {
		other.tell(claimUpdate{claimed: []string{id}, told: make(chan struct{})})
	}
	for _, other := range others {
		other.awaitClaims()
	}
	return !p.claimedElsewhere.has(id)
}

// exchangeClaim is the claim of one request's id, made by the first of its attempts that gets this far.
type exchangeClaim struct {
	once sync.Once
	made atomic.Bool
	won  bool
}

// win claims the id unless that was done before, and reports whether it was won.
func (c *exchangeClaim) win(among *processGroup, id string) bool {
	c.once.Do(func() {
		c.won = among.claim(id)
		c.made.Store(true)
	})
	return c.won
}

// releaseClaim tells the siblings that a request whose id was claimed has not run.
func (p *processGroup) releaseClaim(id string) {
	for _, other := range p.connected() {
		other.tell(claimUpdate{released: []string{id}})
	}
}

// tell has an update written to the sibling. If somebody waits for it, it returns when it has been written, or after claimTimeout.
func (s *sibling) tell(update claimUpdate) {
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	select {
	case s.claims <- update:
	case <-s.gone:
		return
	case <-timeout.C:
		return
	}
	if update.told == nil {
		return
	}
	select {
	case <-update.told:
	case <-s.gone:
	case <-timeout.C:
	}
}

// awaitClaims returns when all that the sibling has told up to now is known here, or after claimTimeout. A predecessor gets
// firstClaimsTimeout from its connection to tell what it claimed before.
func (s *sibling) awaitClaims() {
	until := time.Now().Add(claimTimeout)
	if !s.isSuccessor && !s.claimsComplete.Load() {
		until = s.connectedAt.Add(firstClaimsTimeout)
	}
	told, open := s.source.written()
	for open && time.Now().Before(until) {
		if (s.isSuccessor || s.claimsComplete.Load()) && s.source.handled.Load() >= told {
			return
		}
		select {
		case <-s.gone:
			return
		case <-time.After(claimReadInterval):
		}
	}
}

// sendClaims writes updates to a sibling until it is gone. Those that wait are written together.
func (p *processGroup) sendClaims(other *sibling) {
	for {
		var waiting []claimUpdate
		select {
		case <-other.gone:
			return
		case update := <-other.claims:
			waiting = append(waiting, update)
		}
		for len(other.claims) > 0 && len(waiting) < maxClaimsPerLine {
			waiting = append(waiting, <-other.claims)
		}
		p.writeClaims(other, waiting)
		for _, update := range waiting {
			if update.told != nil {
				close(update.told)
			}
		}
	}
}

// writeClaims writes updates, in their order, as one line.
func (p *processGroup) writeClaims(other *sibling, updates []claimUpdate) {
	var all claimUpdate
	for _, update := range updates {
		all.claimed = append(all.claimed, update.claimed...)
		all.released = append(all.released, update.released...)
		all.complete = all.complete || update.complete
	}
	var a fastjson.Arena
	v := p.status(&a, other)
	all.encode(&a, v)
	other.writeMu.Lock()
	defer other.writeMu.Unlock()
	other.conn.SetWriteDeadline(time.Now().Add(siblingTimeout))
	if _, err := other.conn.Write(append(v.MarshalTo(nil), '\n')); err != nil {
		other.conn.Close()
	}
}

// receiveClaims applies a sibling's update and passes it on to the process on the other side.
func (p *processGroup) receiveClaims(from *sibling, update claimUpdate) {
	p.claimedElsewhere.add(update.claimed)
	p.claimedElsewhere.remove(update.released)
	if update.complete {
		from.claimsComplete.Store(true)
	}
	update.complete = false
	for _, other := range p.connected() {
		if other != from && !update.isEmpty() {
			go other.tell(update)
		}
	}
}

// tellEarlierClaims tells a sibling that was just connected the ids of all requests that may have run here, and of those that are
// known of other processes.
func (p *processGroup) tellEarlierClaims(other *sibling) {
	ids := make(chan []string, 1)
	p.server.loop.postUrgent(loopCall(func(l *loop) { ids <- l.claimedIDs() }))
	var earlier []string
	select {
	case earlier = <-ids:
	case <-other.gone:
		return
	}
	earlier = append(p.claimedElsewhere.all(), earlier...)
	for len(earlier) > 0 {
		part := earlier[:min(len(earlier), maxClaimsPerLine)]
		earlier = earlier[len(part):]
		other.tell(claimUpdate{claimed: part, told: make(chan struct{})})
	}
	other.tell(claimUpdate{complete: true})
}

// claimedIDs returns the ids of all requests that may have run: those with an attempt and those that are finished.
func (l *loop) claimedIDs() (ids []string) {
	for n := range l.finishedRing {
		if id := l.finishedRing[(l.finishedNext+n)%maxFinishedIDs]; l.finishedIDs[id] {
			ids = append(ids, string(id))
		}
	}
	for id, x := range l.exchanges {
		if len(x.legs) > 0 {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// claimLost is the event that another process of this sidecar has claimed an exchange's id.
type claimLost struct{ x *exchange }

// handle answers the exchange as one that repeats the id of another.
func (e claimLost) handle(l *loop) {
	if e.x.answered || l.exchanges[e.x.id] != e.x {
		return
	}
	l.counters.badInput.Add(1)
	l.counters.claimsLost.Add(1)
	l.log.Debug("request given up: another process of this sidecar has its id", zap.String("id", string(e.x.id)))
	l.sendAnswer(e.x, answer{status: http.StatusConflict})
	l.module.ClientLeft(e.x.id)
	l.removeFinished(e.x)
}
