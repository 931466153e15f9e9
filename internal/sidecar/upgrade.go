// This file owns process replacement (upgrade): for a while two processes, or three if one upgrade follows another, form one
// sidecar. It owns the Unix socket connections between them: the handover from the predecessor to the successor (listening
// socket, endpoint list, operator drains), and the updates that each sends to the other until one of them is gone.
// Invariants: nothing here stops a sidecar that consists of a single process, and a process that does not answer does not keep
// the other from starting or shutting down.
package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/lynxjunction/lynxjunction/internal/hands"
)

const (
	// handoverTimeout bounds the predecessor's answer and each side's handover: the new process must serve within 6 s.
	handoverTimeout = 1500 * time.Millisecond
	// updateInterval is the interval of updates to a sibling; they double as heartbeats.
	updateInterval = 50 * time.Millisecond
	// siblingTimeout is the silence after which a sibling is considered hung.
	siblingTimeout = 20 * updateInterval
	// updatePauseFactor is the pause after an update as a multiple of the time that sending the update took: long lists that
	// change continuously must not occupy a core.
	updatePauseFactor = 4
	// maxLineBytes bounds a line received from a sibling.
	maxLineBytes = maxListBytes + hands.MaxFileBytes
	// maxTransferWait bounds the new process's wait for the predecessor's transfers before its health check succeeds, which
	// is due within 6 s.
	maxTransferWait = 5400 * time.Millisecond
	// maxOwnWatchWait bounds the new process's wait for the first update of its own watch before it accepts clients and its
	// health check succeeds, which is due within 6 s.
	maxOwnWatchWait = 5 * time.Second
	// maxSocketNameBytes is the longest path that is used as a Unix socket's name; the kernel's limit is slightly above it.
	maxSocketNameBytes = 100

	// maxHandoverEntries bounds the endpoints in the one line of a handover.
	maxHandoverEntries = 8192
)

// errNoPredecessor reports that no other process of this sidecar was found.
var errNoPredecessor = errors.New("no predecessor process to take over from")

// handoverState is what a predecessor hands over, and the connection to it.
type handoverState struct {
	listener   *net.TCPListener
	list       *endpointList
	shared     *sharedState // list together with what the predecessor knows of endpoints that are no longer listed
	drainedIDs []string     // endpoints drained by operator
	listedIDs  []string     // endpoints that were ever listed
	conn       *net.UnixConn
	reader     *bufio.Reader  // buffers conn after the handover
	source     *siblingSource // that reader reads from
}

// socketName returns the name of the handover socket in dir. A path that is too long for the kernel is replaced by one through an
// open descriptor of the directory; release closes that descriptor.
func socketName(dir string) (name string, release func(), err error) {
	name = filepath.Join(dir, "lynxjunction.sock")
	if len(name) <= maxSocketNameBytes {
		return name, func() {}, nil
	}
	folder, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/lynxjunction.sock", folder.Fd()), func() { folder.Close() }, nil
}

// requestHandover connects to the running process of this sidecar and receives its state. It returns errNoPredecessor if there is none.
func requestHandover(dir string) (*handoverState, error) {
	if dir == "" {
		return nil, errNoPredecessor
	}
	name, release, err := socketName(dir)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", name, handoverTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errNoPredecessor
	}
	if err != nil {
		return nil, err
	}
	h := &handoverState{conn: conn.(*net.UnixConn)}
	if err := h.receive(); err != nil {
		conn.Close()
		if h.listener != nil {
			h.listener.Close()
		}
		return nil, err
	}
	return h, nil
}

// receive reads the handover from the connection: the listening socket as ancillary data, then one line of JSON.
func (h *handoverState) receive() error {
	h.conn.SetDeadline(time.Now().Add(handoverTimeout))
	firstByte, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := h.conn.ReadMsgUnix(firstByte, rights)
	if err != nil {
		return err
	}
	if h.listener, err = listenerFromRights(rights[:n]); err != nil {
		return err
	}
	if h.reader, h.source, err = newSiblingReader(h.conn); err != nil {
		return err
	}
	text, err := readLine(h.reader)
	if err != nil {
		return err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return err
	}
	if list := v.Get("list"); list != nil {
		known, err := decodeList(list)
		if err != nil {
			return err
		}
		if known.full = true; len(known.servers) > 0 {
			h.list = &known
		}
		var shared sharedState
		if complete, err := shared.addPart(list); err == nil && complete {
			h.shared = &shared
		}
	}
	for _, id := range v.GetArray("out") {
		h.drainedIDs = append(h.drainedIDs, string(id.GetStringBytes()))
	}
	for _, id := range v.GetArray("ever") {
		h.listedIDs = append(h.listedIDs, string(id.GetStringBytes()))
	}
	return h.conn.SetDeadline(time.Time{})
}

// listenerFromRights returns the listener whose descriptor was passed in the control message rights (SCM_RIGHTS).
func listenerFromRights(rights []byte) (*net.TCPListener, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("expected one control message with the listening socket"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("expected exactly one descriptor in the control message"), err)
	}
	unix.CloseOnExec(fds[0])
	file := os.NewFile(uintptr(fds[0]), "door")
	defer file.Close() // net.FileListener duplicates the descriptor
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("the socket passed is not a TCP listener")
	}
	return tcp, nil
}

// readLine reads a line of at most about maxLineBytes; an overlong one is returned with bufio.ErrBufferFull.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != bufio.ErrBufferFull || len(line) > maxLineBytes {
			return line, err
		}
	}
}

// sibling is another process of this sidecar, connected to this one.
type sibling struct {
	conn            *net.UnixConn
	isSuccessor     bool          // it took over from this process; otherwise it is the predecessor
	ready           atomic.Bool   // it passes its health check, so that this process may end
	accepting       atomic.Bool   // it accepts clients
	heldDescriptors atomic.Int64  // as last reported, including those of further processes on its other side
	heldMemory      atomic.Int64  // resident, as last reported, in bytes; with that of further processes on its other side
	wake            chan struct{} // signalled when there is an update to send
	sentChange      uint64        // loop.changeCount of the last shared state sent
	writeMu         sync.Mutex    // serializes writes to conn; guards sentChange

	source         *siblingSource
	connectedAt    time.Time
	claims         chan claimUpdate // to be told to it
	claimsComplete atomic.Bool      // it has told all that it claimed before it was connected
	gone           chan struct{}    // closed when the connection has ended
}

// processGroup is this process together with the sibling processes of an upgrade.
type processGroup struct {
	dir      string // directory of the handover socket
	server   *clientServer
	listener *net.TCPListener // listening socket for clients, to be handed over
	log      *zap.Logger

	mu                   sync.Mutex
	predecessor          *sibling // the process before this one; nil for none
	successor            *sibling // the process that takes over from this one; nil for none
	handoverListener     *net.UnixListener
	hadSibling           bool         // a sibling is or was connected
	predecessorTransfers atomic.Int64 // long transfers of the predecessor; below 0 until it reports them
	hasSibling           atomic.Bool
	startedAt            time.Time
	tookOver             bool        // this process took over from a predecessor
	claimedElsewhere     idSet       // ids of requests that other processes have, or had
	awaitingList         atomic.Bool // this process accepts no clients yet: its own watch has not confirmed the endpoint list
}

// siblings returns the other processes, nil for none, and the number of descriptors that they hold.
func (p *processGroup) siblings() (predecessor, successor *sibling, heldDescriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range []*sibling{p.predecessor, p.successor} {
		if other != nil {
			heldDescriptors += int(other.heldDescriptors.Load())
		}
	}
	return p.predecessor, p.successor, heldDescriptors
}

// successorReady reports whether a successor is connected and ready to serve.
func (p *processGroup) successorReady() bool {
	_, successor, _ := p.siblings()
	return successor != nil && successor.ready.Load()
}

// listConfirmed reports whether the endpoint list taken over is confirmed by this process's own watch, or maxOwnWatchWait has passed.
func (p *processGroup) listConfirmed() bool {
	return !p.tookOver || p.server.loop.watchHeard.Load() || time.Since(p.startedAt) > maxOwnWatchWait
}

// predecessorDrained reports whether the predecessor has no running transfer that its end would cut off, or maxTransferWait has passed.
func (p *processGroup) predecessorDrained() bool {
	p.mu.Lock()
	expected := p.predecessor != nil || p.tookOver && !p.hadSibling
	p.mu.Unlock()
	return !expected || p.predecessorTransfers.Load() == 0 || time.Since(p.startedAt) > maxTransferWait
}

// setPaused stops or resumes accepting clients here, so that another process accepts them from the shared socket. The socket stays
// open in this process: the successor may die. It stays paused while awaitingList is set.
func (p *processGroup) setPaused(paused bool) {
	if listener := p.server.listener.Load(); listener != nil {
		listener.setPaused(paused || p.awaitingList.Load())
	}
}

// acceptWhenListConfirmed leaves the clients to the predecessor until this process has a list from its own watch: changes that
// the predecessor received after it had handed over its list are not known here.
func (p *processGroup) acceptWhenListConfirmed(ctx context.Context) {
	p.awaitingList.Store(true)
	p.setPaused(true)
	go func() {
		ticker := time.NewTicker(updateInterval)
		defer ticker.Stop()
		for !p.listConfirmed() && p.awaitingList.Load() && ctx.Err() == nil {
			<-ticker.C
		}
		p.startAccepting()
	}()
}

// startAccepting accepts clients from now on, whether or not the endpoint list is confirmed, and notifies the module that this
// process has taken them over.
func (p *processGroup) startAccepting() {
	p.awaitingList.Store(false)
	p.server.loop.postUrgent(loopCall(func(l *loop) { l.module.TookOver(l.list.siblingWatches) }))
	p.setPaused(false)
}

// slot returns the field that holds the successor or the predecessor. The caller holds mu.
func (p *processGroup) slot(successor bool) **sibling {
	if successor {
		return &p.successor
	}
	return &p.predecessor
}

// runSibling exchanges updates with another process until the connection to it ends, and then takes back its share of the limits
// and its clients.
func (p *processGroup) runSibling(ctx context.Context, conn *net.UnixConn, reader *bufio.Reader, source *siblingSource, isSuccessor bool) {
	other := &sibling{conn: conn, isSuccessor: isSuccessor, wake: make(chan struct{}, 1), source: source, connectedAt: time.Now(),
		claims: make(chan claimUpdate, maxClaimsPerLine), gone: make(chan struct{})}
	p.mu.Lock()
	slot := p.slot(isSuccessor)
	if *slot != nil {
		(*slot).conn.Close() // replaced by the newest connection
	}
	*slot, p.hadSibling = other, true
	p.mu.Unlock()
	if !isSuccessor {
		p.predecessorTransfers.Store(-1)
	}
	p.log.Info("connected to another process of this sidecar", zap.Bool("the_other_is_new", isSuccessor))
	p.shareLimits()
	wake := p.wakeSenders
	p.server.loop.onChange.Store(&wake)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go p.sendUpdates(other)
	go p.sendClaims(other)
	go p.tellEarlierClaims(other)
	p.receiveUpdates(other, reader)
	conn.Close()
	close(other.gone)
	p.mu.Lock()
	current := *slot == other
	if current {
		*slot = nil
	}
	alone := p.predecessor == nil && p.successor == nil
	p.mu.Unlock()
	switch {
	case !current:
		return
	case alone:
		p.lastSiblingGone()
	case isSuccessor:
		p.setPaused(false)
		p.shareLimits()
	default:
		p.startAccepting()
		p.shareLimits()
	}
	if isSuccessor && ctx.Err() == nil && p.server.shutdownBy.Load() == nil {
		p.tryListenForSuccessor(ctx) // the successor had replaced the handover socket by its own
	}
}

// receiveUpdates reads and applies the updates of another process until its connection ends.
func (p *processGroup) receiveUpdates(other *sibling, reader *bufio.Reader) {
	var state sharedState
	for {
		other.conn.SetReadDeadline(time.Now().Add(siblingTimeout))
		text, err := readLine(reader)
		if errors.Is(err, os.ErrDeadlineExceeded) && len(text) == 0 {
			p.siblingTimedOut(other)
			continue
		}
		if err != nil {
			return
		}
		v, err := fastjson.ParseBytes(text)
		if err != nil {
			return
		}
		other.accepting.Store(v.GetBool("takes"))
		other.ready.Store(v.GetBool("serves") || v.GetBool("takes")) // from then on the predecessor may end
		other.heldDescriptors.Store(v.GetInt64("held"))
		other.heldMemory.Store(v.GetInt64("memory"))
		if other.isSuccessor {
			p.setPaused(other.accepting.Load())
		} else {
			p.predecessorTransfers.Store(v.GetInt64("moving"))
		}
		p.shareLimits()
		p.receiveClaims(other, decodeClaims(v))
		if part := v.Get("list"); part != nil {
			complete, err := state.addPart(part)
			if err != nil {
				p.log.Warn("list update from another process of this sidecar can't be decoded; ignored", zap.Error(err))
			} else if complete {
				p.server.loop.postUrgent(siblingUpdate{state})
				state = sharedState{}
			}
		}
	}
}

// siblingTimedOut handles a sibling that has been silent for siblingTimeout: it no longer counts as ready or accepting, and this
// process accepts clients again. The descriptors that it last reported still count as held.
func (p *processGroup) siblingTimedOut(other *sibling) {
	other.ready.Store(false)
	other.accepting.Store(false)
	if other.isSuccessor {
		p.setPaused(false)
		return
	}
	p.predecessorTransfers.Store(0)
	p.startAccepting()
}

// wakeSenders has an update sent to the siblings at once.
func (p *processGroup) wakeSenders() {
	predecessor, successor, _ := p.siblings()
	for _, other := range []*sibling{predecessor, successor} {
		if other == nil {
			continue
		}
		select {
		case other.wake <- struct{}{}:
		default:
		}
	}
}

// sendUpdates sends updates to a sibling, at each change and every updateInterval, until the connection ends. It pauses after an update
// that took long (see updatePauseFactor).
func (p *processGroup) sendUpdates(other *sibling) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		started := time.Now()
		if p.sendUpdate(other) != nil {
			return
		}
		time.Sleep(min(time.Since(started)*updatePauseFactor, siblingTimeout/4))
		select {
		case <-ticker.C:
		case <-other.wake:
		}
	}
}

// status returns the status to report to a sibling: that of this process, combined with that of the process on its other side, if
// there are three.
func (p *processGroup) status(a *fastjson.Arena, to *sibling) *fastjson.Value {
	clients, upstream := p.server.descriptors.connections()
	predecessor, successor, heldDescriptors := p.siblings()
	heldDescriptors += clients + upstream - int(to.heldDescriptors.Load())
	accepting, ready, transfers := p.server.acceptsExchanges(), p.server.servesAlone(), p.server.transfers.Load()
	if !to.isSuccessor && successor != nil {
		accepting, ready = accepting || successor.accepting.Load(), ready || successor.ready.Load()
	}
	if to.isSuccessor && predecessor != nil {
		transfers += max(p.predecessorTransfers.Load(), 0)
	}
	heldMemory, _ := residentBytes()
	for _, other := range []*sibling{predecessor, successor} {
		if other != nil && other != to {
			heldMemory += other.heldMemory.Load()
		}
	}
	v := a.NewObject()
	v.Set("held", a.NewNumberInt(max(heldDescriptors, 0)))
	v.Set("memory", a.NewNumberString(strconv.FormatInt(heldMemory, 10)))
	v.Set("moving", a.NewNumberString(strconv.FormatInt(transfers, 10)))
	v.Set("takes", boolean(a, accepting))
	v.Set("serves", boolean(a, ready))
	return v
}

// sendUpdate sends the status to a sibling, and the shared state if that has changed since it was last sent.
func (p *processGroup) sendUpdate(other *sibling) error {
	other.writeMu.Lock()
	defer other.writeMu.Unlock()
	var a fastjson.Arena
	var parts []*fastjson.Value
	var change uint64
	if p.server.loop.changeCount.Load() != other.sentChange {
		if k, err := p.server.loop.sharedState(siblingTimeout / 4); err == nil {
			parts, change = k.parts(&a, maxPartEntries), k.change
		}
	}
	if len(parts) == 0 {
		parts = []*fastjson.Value{nil}
	}
	for _, part := range parts {
		v := p.status(&a, other)
		if part != nil {
			v.Set("list", part)
		}
		other.conn.SetWriteDeadline(time.Now().Add(siblingTimeout))
		if _, err := other.conn.Write(append(v.MarshalTo(nil), '\n')); err != nil {
			other.conn.Close()
			return err
		}
	}
	if change > 0 {
		other.sentChange = change
	}
	return nil
}

// updateSiblingsNow sends an update to the siblings before it returns. It is used before a successful health check is answered and
// before this process ends: SIGTERM may reach a sibling before the next periodic update.
func (p *processGroup) updateSiblingsNow() {
	predecessor, successor, _ := p.siblings()
	for _, other := range []*sibling{predecessor, successor} {
		if other != nil {
			p.sendUpdate(other)
		}
	}
}

// shareLimits reduces this process's limits of memory and descriptors to its share while siblings exist.
func (p *processGroup) shareLimits() {
	predecessor, successor, heldDescriptors := p.siblings()
	if predecessor == nil && successor == nil {
		return
	}
	processes := int64(2)
	if predecessor != nil && successor != nil {
		processes = 3
	}
	p.hasSibling.Store(true)
	othersHold := int64(0)
	for _, other := range []*sibling{predecessor, successor} {
		if other != nil {
			othersHold += other.heldMemory.Load()
		}
	}
	p.server.descriptors.memory.shareAmong(processes, othersHold)
	p.server.descriptors.shareWith(heldDescriptors)
}

// makeRoomForProcess gives up memory for a new process as soon as it is seen: the handover itself takes a while in a process that is
// busy.
func (p *processGroup) makeRoomForProcess() {
	if predecessor, successor, _ := p.siblings(); predecessor == nil && successor == nil {
		p.server.descriptors.memory.shareAmong(2, 0)
	}
}

// releaseUnusedShare takes the memory back if the new process was not connected.
func (p *processGroup) releaseUnusedShare() {
	if predecessor, successor, _ := p.siblings(); predecessor == nil && successor == nil {
		p.server.descriptors.memory.shareAmong(1, 0)
	}
}

// lastSiblingGone restores the full limits once this is the only process, and accepts clients.
func (p *processGroup) lastSiblingGone() {
	p.hasSibling.Store(false)
	p.startAccepting()
	p.server.descriptors.memory.shareAmong(1, 0)
	p.server.descriptors.shareWith(-1)
	p.log.Info("no other process of this sidecar is connected; the full limits apply again")
}

// listenForSuccessor opens the handover socket and hands over to each process that connects, until ctx ends.
func (p *processGroup) listenForSuccessor(ctx context.Context) error {
	name, release, err := socketName(p.dir)
	if err != nil {
		return err
	}
	defer release()
	os.Remove(name) // left by a process that is gone or, if the predecessor runs, has already handed over to this process
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false)
	context.AfterFunc(ctx, func() { ln.Close() })
	p.mu.Lock()
	previous := p.handoverListener
	p.handoverListener = ln
	p.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	go func() {
		for {
			conn, err := acceptUntilClosed(ln, p.server.counters, p.log)
			if err != nil {
				return
			}
			go p.handOver(ctx, conn.(*net.UnixConn))
		}
	}()
	return nil
}

// handOver sends the listening socket and the handover message to a new process, and then runs it as the successor.
func (p *processGroup) handOver(ctx context.Context, conn *net.UnixConn) {
	conn.SetDeadline(time.Now().Add(handoverTimeout))
	p.makeRoomForProcess()
	raw, err := p.listener.SyscallConn()
	if err == nil {
		// The descriptor stays open within Control. A duplicate made by File would set the shared socket to blocking mode, in
		// this process as well.
		if e := raw.Control(func(fd uintptr) { _, _, err = conn.WriteMsgUnix([]byte("\n"), unix.UnixRights(int(fd)), nil) }); e != nil {
			err = e
		}
	}
	if err == nil {
		_, err = conn.Write(append(p.handoverMessage(), '\n'))
	}
	if err != nil {
		p.log.Warn("handover of the listening socket to a new process failed", zap.Error(err))
		conn.Close()
		p.releaseUnusedShare()
		return
	}
	conn.SetDeadline(time.Time{})
	reader, source, err := newSiblingReader(conn)
	if err != nil {
		p.log.Warn("connection to a new process can't be read", zap.Error(err))
		conn.Close()
		p.releaseUnusedShare()
		return
	}
	p.runSibling(ctx, conn, reader, source, true)
}

// handoverMessage returns the state that a new process starts from, with the list in discovery's format. The list is left out if
// the event loop is stalled.
func (p *processGroup) handoverMessage() []byte {
	var a fastjson.Arena
	v := a.NewObject()
	stringArray := func(ids []string) *fastjson.Value {
		list := a.NewArray()
		for n, id := range ids {
			list.SetArrayItem(n, a.NewString(id))
		}
		return list
	}
	drainedIDs, listedIDs := p.server.loop.operatorDrains.Snapshot()
	v.Set("out", stringArray(drainedIDs))
	v.Set("ever", stringArray(listedIDs))
	// A longer list is sent in parts as an update once the sibling runs.
	if k, err := p.server.loop.sharedState(handoverTimeout / 3); err == nil && len(k.servers) <= maxHandoverEntries {
		v.Set("list", k.parts(&a, maxHandoverEntries)[0])
	}
	return v.MarshalTo(nil)
}

// tryListenForSuccessor calls listenForSuccessor and only logs a failure: without the socket, this process is replaced by one that
// starts as if there were no predecessor.
func (p *processGroup) tryListenForSuccessor(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := p.listenForSuccessor(ctx); err != nil {
		p.log.Warn("can't listen on the handover socket; a new process will start without the state of this one", zap.Error(err))
	}
}

// setReusePort sets SO_REUSEPORT, so that a new process can listen on the same address if it finds this one hung.
func setReusePort(_, _ string, c syscall.RawConn) (err error) {
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}
