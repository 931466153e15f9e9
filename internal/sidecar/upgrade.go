// Upgrade: two processes, or three where one upgrade follows another, that are one sidecar for a while. This file owns the lines between
// them: what an old one hands over (its listening socket, list, bans), and what each says of itself until the other is gone. It must never
// stop a sidecar that has no other process beside it, nor let one that doesn't answer keep the other from starting or ending.
package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
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
	handoverTimeout    = 1500 * time.Millisecond // for the old process to answer: the new one must serve within 6 s
	updateInterval     = 50 * time.Millisecond
	siblingTimeout     = 20 * updateInterval // of silence, after which the other is taken for hung
	updatePauseFactor  = 4                   // times what telling took, before the next: long lists that change all the time must not take a core
	maxLineBytes       = maxListBytes + hands.MaxFileBytes
	maxTransferWait    = 5400 * time.Millisecond // for the old process's transfers, before the yes that is due within 6 s
	maxOwnWatchWait    = 5 * time.Second         // for the new process's own watch to tell something, before the same yes
	maxSocketNameBytes = 100                     // bytes that a Unix socket's name may have

	// heritageMost bounds the entries that a new process is handed in one line.
	maxHandoverEntries = 8192
)

var errNoPredecessor = errors.New("nobody to inherit from")

// heritage is what an old process hands over.
type handoverState struct {
	listener   *net.TCPListener
	list       *endpointList
	shared     *sharedState // beside known, with what it was told of those that are gone
	drainedIDs []string
	listedIDs  []string
	conn       *net.UnixConn
	reader     *bufio.Reader
}

// socketName is short enough for the kernel; a long one is reached through an open folder.
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

// inherit asks the process that serves now for all it has.
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

// receive takes what comes over the line: a socket, then a line of text.
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
	h.reader = bufio.NewReader(h.conn)
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

func listenerFromRights(rights []byte) (*net.TCPListener, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("no socket came"), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no one socket came"), err)
	}
	unix.CloseOnExec(fds[0])
	file := os.NewFile(uintptr(fds[0]), "door")
	defer file.Close() // net.FileListener has one of its own
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("not a TCP listener")
	}
	return tcp, nil
}

func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != bufio.ErrBufferFull || len(line) > maxLineBytes {
			return line, err
		}
	}
}

// peer is one other process of this sidecar, at the other end of a line.
type sibling struct {
	conn             *net.UnixConn
	isSuccessor      bool
	ready, accepting atomic.Bool
	heldDescriptors  atomic.Int64
	wake             chan struct{} // there is news to tell
	sentChange       uint64        // the last change that was told
	writeMu          sync.Mutex    // orders what is told
}

// pair is this process and, during an upgrade, the other ones.
type processGroup struct {
	dir         string
	memoryTenth int64 // what all may have
	server      *clientServer
	listener    *net.TCPListener
	log         *zap.Logger

	mu                   sync.Mutex
	predecessor          *sibling // the process before this one; nil for none
	successor            *sibling // the new process; nil for none
	handoverListener     *net.UnixListener
	hadSibling           bool         // there was another
	predecessorTransfers atomic.Int64 // the elder's long transfers; below 0 while it has not said
	hasSibling           atomic.Bool
	startedAt            time.Time
	tookOver             bool         // this process has inherited
	awaitingList         atomic.Bool  // and takes no clients yet
	memorySharers        atomic.Int64 // processes that share the memory, as the collector was told; 0 for not yet
}

// peers are the other processes, and how many descriptors they hold.
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

// succeeds tells whether a new process serves beside this one.
func (p *processGroup) successorReady() bool {
	_, successor, _ := p.siblings()
	return successor != nil && successor.ready.Load()
}

// settled tells whether what was inherited is confirmed by a watch of our own, or was waited for long enough.
func (p *processGroup) listConfirmed() bool {
	return !p.tookOver || p.server.loop.watchHeard.Load() || time.Since(p.startedAt) > maxOwnWatchWait
}

// clear tells whether the old process has no transfer under way that its end would cut off, or was waited for long enough.
func (p *processGroup) predecessorDrained() bool {
	p.mu.Lock()
	expected := p.predecessor != nil || p.tookOver && !p.hadSibling
	p.mu.Unlock()
	return !expected || p.predecessorTransfers.Load() == 0 || time.Since(p.startedAt) > maxTransferWait
}

// yield lets the new process take the clients, or takes them again. The socket stays ours too: the new one may die.
func (p *processGroup) setPaused(paused bool) {
	if listener := p.server.listener.Load(); listener != nil {
		listener.setPaused(paused || p.awaitingList.Load())
	}
}

// openWhenSettled leaves the clients to the old process until this one has a list of its own: what the old one was told after
// it had handed over its list is not known here.
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

// open takes clients from now on, whatever is known.
func (p *processGroup) startAccepting() {
	p.awaitingList.Store(false)
	p.server.loop.postUrgent(loopCall(func(l *loop) { l.module.TookOver(l.list.siblingWatches) }))
	p.setPaused(false)
}

// place is where a peer of an age stands. The caller holds mu.
func (p *processGroup) slot(successor bool) **sibling {
	if successor {
		return &p.successor
	}
	return &p.predecessor
}

// join speaks with another process until its line ends.
func (p *processGroup) runSibling(ctx context.Context, conn *net.UnixConn, reader *bufio.Reader, isSuccessor bool) {
	other := &sibling{conn: conn, isSuccessor: isSuccessor, wake: make(chan struct{}, 1)}
	p.mu.Lock()
	slot := p.slot(isSuccessor)
	if *slot != nil {
		(*slot).conn.Close() // the newest counts
	}
	*slot, p.hadSibling = other, true
	p.mu.Unlock()
	if !isSuccessor {
		p.predecessorTransfers.Store(-1)
	}
	p.log.Info("another process is this sidecar too", zap.Bool("the_other_is_new", isSuccessor))
	p.shareLimits()
	wake := p.wakeSenders
	p.server.loop.onChange.Store(&wake)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go p.sendUpdates(other)
	p.receiveUpdates(other, reader)
	conn.Close()
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
		p.tryListenForSuccessor(ctx) // it had taken the name by which a new process finds this one
	}
}

// hear takes what another process says until its line ends.
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
		other.ready.Store(v.GetBool("serves") || v.GetBool("takes")) // the old one may end from then on
		other.heldDescriptors.Store(v.GetInt64("held"))
		if other.isSuccessor {
			p.setPaused(other.accepting.Load())
		} else {
			p.predecessorTransfers.Store(v.GetInt64("moving"))
		}
		p.shareLimits()
		if part := v.Get("list"); part != nil {
			complete, err := state.addPart(part)
			if err != nil {
				p.log.Warn("what another process of this sidecar tells can't be read", zap.Error(err))
			} else if complete {
				p.server.loop.postUrgent(siblingUpdate{state})
				state = sharedState{}
			}
		}
	}
}

// hangs is told of another process that says nothing, and holds what it holds.
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

// wakeAll has the other processes told at once.
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

// tell says what we hold and know until the line ends.
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

// status is what we say of this process and of the one on its other side.
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
	v := a.NewObject()
	v.Set("held", a.NewNumberInt(max(heldDescriptors, 0)))
	v.Set("moving", a.NewNumberString(strconv.FormatInt(transfers, 10)))
	v.Set("takes", boolean(a, accepting))
	v.Set("serves", boolean(a, ready))
	return v
}

// say tells another process our status, and all that we know if that has changed since we told it last.
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

// assure tells the other processes now what we are about to tell staff, and the last of what we know before our end: SIGTERM may reach
// them before our next beat.
func (p *processGroup) updateSiblingsNow() {
	predecessor, successor, _ := p.siblings()
	for _, other := range []*sibling{predecessor, successor} {
		if other != nil {
			p.sendUpdate(other)
		}
	}
}

// share leaves the other processes their part of memory and descriptors.
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
	if p.memorySharers.Swap(processes) != processes {
		debug.SetMemoryLimit(p.memoryTenth * memoryLimitTenths / processes)
	}
	p.server.descriptors.shareWith(heldDescriptors)
}

func (p *processGroup) lastSiblingGone() {
	p.hasSibling.Store(false)
	p.memorySharers.Store(1)
	p.startAccepting()
	debug.SetMemoryLimit(p.memoryTenth * memoryLimitTenths)
	p.server.descriptors.shareWith(-1)
	p.log.Info("one process is this sidecar")
}

// offer lets a new process come, whenever it does.
func (p *processGroup) listenForSuccessor(ctx context.Context) error {
	name, release, err := socketName(p.dir)
	if err != nil {
		return err
	}
	defer release()
	os.Remove(name) // of a process that is gone: one that is not has told us so
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

// hand gives a new process all it needs.
func (p *processGroup) handOver(ctx context.Context, conn *net.UnixConn) {
	conn.SetDeadline(time.Now().Add(handoverTimeout))
	raw, err := p.listener.SyscallConn()
	if err == nil {
		// Within Control the descriptor stays open; a copy through File would make it blocking, ours as well.
		if e := raw.Control(func(fd uintptr) { _, _, err = conn.WriteMsgUnix([]byte("\n"), unix.UnixRights(int(fd)), nil) }); e != nil {
			err = e
		}
	}
	if err == nil {
		_, err = conn.Write(append(p.handoverMessage(), '\n'))
	}
	if err != nil {
		p.log.Warn("a new process came and could not be given the door", zap.Error(err))
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	p.runSibling(ctx, conn, bufio.NewReader(conn), true)
}

// heritage is what the new process starts from, in discovery's form; a loop that stands still adds no list.
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
	// A list that does not fit is told in parts, once the line is joined.
	if k, err := p.server.loop.sharedState(handoverTimeout / 3); err == nil && len(k.servers) <= maxHandoverEntries {
		v.Set("list", k.parts(&a, maxHandoverEntries)[0])
	}
	return v.MarshalTo(nil)
}

// offered is offer for a process that can do without: it is then replaced as if there were none before it.
func (p *processGroup) tryListenForSuccessor(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := p.listenForSuccessor(ctx); err != nil {
		p.log.Warn("a new process could not ask for the door", zap.Error(err))
	}
}

// shared lets the address be listened at once more, should a new process find this one hung.
func setReusePort(_, _ string, c syscall.RawConn) (err error) {
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}
