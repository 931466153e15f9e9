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
	inheritTime = 1500 * time.Millisecond // for the old process to answer: the new one must serve within 6 s
	tellBeat    = 50 * time.Millisecond
	tellLast    = 20 * tellBeat // of silence, after which the other is taken for hung
	tellRest    = 4             // times what telling took, before the next: long lists that change all the time must not take a core
	lineMost    = maxListBytes + hands.Most
	clearWait   = 5400 * time.Millisecond // for the old process's transfers, before the yes that is due within 6 s
	heardWait   = 5 * time.Second         // for the new process's own watch to tell something, before the same yes
	namePath    = 100                     // bytes that a Unix socket's name may have

	// heritageMost bounds the entries that a new process is handed in one line.
	heritageMost = 8192
)

var errNoElder = errors.New("nobody to inherit from")

// heritage is what an old process hands over.
type heritage struct {
	door  *net.TCPListener
	known *endpointList
	told  *knowledge // beside known, with what it was told of those that are gone
	out   []string
	ever  []string
	line  *net.UnixConn
	read  *bufio.Reader
}

// socketName is short enough for the kernel; a long one is reached through an open folder.
func socketName(dir string) (name string, done func(), err error) {
	name = filepath.Join(dir, "lynxjunction.sock")
	if len(name) <= namePath {
		return name, func() {}, nil
	}
	folder, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/lynxjunction.sock", folder.Fd()), func() { folder.Close() }, nil
}

// inherit asks the process that serves now for all it has.
func inherit(dir string) (*heritage, error) {
	if dir == "" {
		return nil, errNoElder
	}
	name, done, err := socketName(dir)
	if err != nil {
		return nil, err
	}
	defer done()
	conn, err := net.DialTimeout("unix", name, inheritTime)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errNoElder
	}
	if err != nil {
		return nil, err
	}
	h := &heritage{line: conn.(*net.UnixConn)}
	if err := h.receive(); err != nil {
		conn.Close()
		if h.door != nil {
			h.door.Close()
		}
		return nil, err
	}
	return h, nil
}

// receive takes what comes over the line: a socket, then a line of text.
func (h *heritage) receive() error {
	h.line.SetDeadline(time.Now().Add(inheritTime))
	first, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := h.line.ReadMsgUnix(first, rights)
	if err != nil {
		return err
	}
	if h.door, err = listenerOf(rights[:n]); err != nil {
		return err
	}
	h.read = bufio.NewReader(h.line)
	text, err := readLine(h.read)
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
			h.known = &known
		}
		var told knowledge
		if whole, err := told.add(list); err == nil && whole {
			h.told = &told
		}
	}
	for _, id := range v.GetArray("out") {
		h.out = append(h.out, string(id.GetStringBytes()))
	}
	for _, id := range v.GetArray("ever") {
		h.ever = append(h.ever, string(id.GetStringBytes()))
	}
	return h.line.SetDeadline(time.Time{})
}

func listenerOf(rights []byte) (*net.TCPListener, error) {
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
		if err != bufio.ErrBufferFull || len(line) > lineMost {
			return line, err
		}
	}
}

// peer is one other process of this sidecar, at the other end of a line.
type peer struct {
	line          *net.UnixConn
	younger       bool
	serves, takes atomic.Bool
	held          atomic.Int64
	wake          chan struct{} // there is news to tell
	told          uint64        // the last change that was told
	writes        sync.Mutex    // orders what is told
}

// pair is this process and, during an upgrade, the other ones.
type pair struct {
	dir    string
	memory int64 // what all may have
	front  *clientServer
	door   *net.TCPListener
	log    *zap.Logger

	mu         sync.Mutex
	elder      *peer // the process before this one; nil for none
	younger    *peer // the new process; nil for none
	offers     *net.UnixListener
	joined     bool         // there was another
	moving     atomic.Int64 // the elder's long transfers; below 0 while it has not said
	together   atomic.Bool
	born       time.Time
	heir       bool         // this process has inherited
	waiting    atomic.Bool  // and takes no clients yet
	limitedFor atomic.Int64 // processes that share the memory, as the collector was told; 0 for not yet
}

// peers are the other processes, and how many descriptors they hold.
func (p *pair) peers() (elder, younger *peer, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range []*peer{p.elder, p.younger} {
		if o != nil {
			held += int(o.held.Load())
		}
	}
	return p.elder, p.younger, held
}

// succeeds tells whether a new process serves beside this one.
func (p *pair) succeeds() bool {
	_, younger, _ := p.peers()
	return younger != nil && younger.serves.Load()
}

// settled tells whether what was inherited is confirmed by a watch of our own, or was waited for long enough.
func (p *pair) settled() bool {
	return !p.heir || p.front.loop.watchHeard.Load() || time.Since(p.born) > heardWait
}

// clear tells whether the old process has no transfer under way that its end would cut off, or was waited for long enough.
func (p *pair) clear() bool {
	p.mu.Lock()
	old := p.elder != nil || p.heir && !p.joined
	p.mu.Unlock()
	return !old || p.moving.Load() == 0 || time.Since(p.born) > clearWait
}

// yield lets the new process take the clients, or takes them again. The socket stays ours too: the new one may die.
func (p *pair) yield(to bool) {
	if listener := p.front.listener.Load(); listener != nil {
		listener.setPaused(to || p.waiting.Load())
	}
}

// openWhenSettled leaves the clients to the old process until this one has a list of its own: what the old one was told after
// it had handed over its list is not known here.
func (p *pair) openWhenSettled(ctx context.Context) {
	p.waiting.Store(true)
	p.yield(true)
	go func() {
		beat := time.NewTicker(tellBeat)
		defer beat.Stop()
		for !p.settled() && p.waiting.Load() && ctx.Err() == nil {
			<-beat.C
		}
		p.open()
	}()
}

// open takes clients from now on, whatever is known.
func (p *pair) open() {
	p.waiting.Store(false)
	p.front.loop.postUrgent(asked(func(l *loop) { l.module.TookOver(l.list.siblingWatches) }))
	p.yield(false)
}

// place is where a peer of an age stands. The caller holds mu.
func (p *pair) place(younger bool) **peer {
	if younger {
		return &p.younger
	}
	return &p.elder
}

// join speaks with another process until its line ends.
func (p *pair) join(ctx context.Context, line *net.UnixConn, read *bufio.Reader, younger bool) {
	other := &peer{line: line, younger: younger, wake: make(chan struct{}, 1)}
	p.mu.Lock()
	place := p.place(younger)
	if *place != nil {
		(*place).line.Close() // the newest counts
	}
	*place, p.joined = other, true
	p.mu.Unlock()
	if !younger {
		p.moving.Store(-1)
	}
	p.log.Info("another process is this sidecar too", zap.Bool("the_other_is_new", younger))
	p.share()
	wake := p.wakeAll
	p.front.loop.onChange.Store(&wake)
	stop := context.AfterFunc(ctx, func() { line.Close() })
	defer stop()
	go p.tell(other)
	p.hear(other, read)
	line.Close()
	p.mu.Lock()
	last := *place == other
	if last {
		*place = nil
	}
	alone := p.elder == nil && p.younger == nil
	p.mu.Unlock()
	switch {
	case !last:
		return
	case alone:
		p.alone()
	case younger:
		p.yield(false)
		p.share()
	default:
		p.open()
		p.share()
	}
	if younger && ctx.Err() == nil && p.front.shutdownBy.Load() == nil {
		p.offered(ctx) // it had taken the name by which a new process finds this one
	}
}

// hear takes what another process says until its line ends.
func (p *pair) hear(other *peer, read *bufio.Reader) {
	var news knowledge
	for {
		other.line.SetReadDeadline(time.Now().Add(tellLast))
		text, err := readLine(read)
		if errors.Is(err, os.ErrDeadlineExceeded) && len(text) == 0 {
			p.hangs(other)
			continue
		}
		if err != nil {
			return
		}
		v, err := fastjson.ParseBytes(text)
		if err != nil {
			return
		}
		other.takes.Store(v.GetBool("takes"))
		other.serves.Store(v.GetBool("serves") || v.GetBool("takes")) // the old one may end from then on
		other.held.Store(v.GetInt64("held"))
		if other.younger {
			p.yield(other.takes.Load())
		} else {
			p.moving.Store(v.GetInt64("moving"))
		}
		p.share()
		if part := v.Get("list"); part != nil {
			whole, err := news.add(part)
			if err != nil {
				p.log.Warn("what another process of this sidecar tells can't be read", zap.Error(err))
			} else if whole {
				p.front.loop.postUrgent(siblingTold{news})
				news = knowledge{}
			}
		}
	}
}

// hangs is told of another process that says nothing, and holds what it holds.
func (p *pair) hangs(other *peer) {
	other.serves.Store(false)
	other.takes.Store(false)
	if other.younger {
		p.yield(false)
		return
	}
	p.moving.Store(0)
	p.open()
}

// wakeAll has the other processes told at once.
func (p *pair) wakeAll() {
	elder, younger, _ := p.peers()
	for _, o := range []*peer{elder, younger} {
		if o == nil {
			continue
		}
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// tell says what we hold and know until the line ends.
func (p *pair) tell(other *peer) {
	beat := time.NewTicker(tellBeat)
	defer beat.Stop()
	for {
		began := time.Now()
		if p.say(other) != nil {
			return
		}
		time.Sleep(min(time.Since(began)*tellRest, tellLast/4))
		select {
		case <-beat.C:
		case <-other.wake:
		}
	}
}

// status is what we say of this process and of the one on its other side.
func (p *pair) status(a *fastjson.Arena, to *peer) *fastjson.Value {
	clients, upstream := p.front.descriptors.connections()
	elder, younger, held := p.peers()
	held += clients + upstream - int(to.held.Load())
	takes, serves, moving := p.front.acceptsExchanges(), p.front.servesAlone(), p.front.transfers.Load()
	if !to.younger && younger != nil {
		takes, serves = takes || younger.takes.Load(), serves || younger.serves.Load()
	}
	if to.younger && elder != nil {
		moving += max(p.moving.Load(), 0)
	}
	v := a.NewObject()
	v.Set("held", a.NewNumberInt(max(held, 0)))
	v.Set("moving", a.NewNumberString(strconv.FormatInt(moving, 10)))
	v.Set("takes", boolean(a, takes))
	v.Set("serves", boolean(a, serves))
	return v
}

// say tells another process our status, and all that we know if that has changed since we told it last.
func (p *pair) say(other *peer) error {
	other.writes.Lock()
	defer other.writes.Unlock()
	var a fastjson.Arena
	var parts []*fastjson.Value
	var told uint64
	if p.front.loop.changeCount.Load() != other.told {
		if k, err := p.front.loop.knowledge(tellLast / 4); err == nil {
			parts, told = k.parts(&a, partMostEntries), k.change
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
		other.line.SetWriteDeadline(time.Now().Add(tellLast))
		if _, err := other.line.Write(append(v.MarshalTo(nil), '\n')); err != nil {
			other.line.Close()
			return err
		}
	}
	if told > 0 {
		other.told = told
	}
	return nil
}

// assure tells the other processes now what we are about to tell staff, and the last of what we know before our end: SIGTERM may reach
// them before our next beat.
func (p *pair) assure() {
	elder, younger, _ := p.peers()
	for _, o := range []*peer{elder, younger} {
		if o != nil {
			p.say(o)
		}
	}
}

// share leaves the other processes their part of memory and descriptors.
func (p *pair) share() {
	elder, younger, held := p.peers()
	if elder == nil && younger == nil {
		return
	}
	processes := int64(2)
	if elder != nil && younger != nil {
		processes = 3
	}
	p.together.Store(true)
	if p.limitedFor.Swap(processes) != processes {
		debug.SetMemoryLimit(p.memory * memoryPart / processes)
	}
	p.front.descriptors.shareWith(held)
}

func (p *pair) alone() {
	p.together.Store(false)
	p.limitedFor.Store(1)
	p.open()
	debug.SetMemoryLimit(p.memory * memoryPart)
	p.front.descriptors.shareWith(-1)
	p.log.Info("one process is this sidecar")
}

// offer lets a new process come, whenever it does.
func (p *pair) offer(ctx context.Context) error {
	name, done, err := socketName(p.dir)
	if err != nil {
		return err
	}
	defer done()
	os.Remove(name) // of a process that is gone: one that is not has told us so
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false)
	context.AfterFunc(ctx, func() { ln.Close() })
	p.mu.Lock()
	before := p.offers
	p.offers = ln
	p.mu.Unlock()
	if before != nil {
		before.Close()
	}
	go func() {
		for {
			line, err := acceptUntilClosed(ln, p.front.counters, p.log)
			if err != nil {
				return
			}
			go p.hand(ctx, line.(*net.UnixConn))
		}
	}()
	return nil
}

// hand gives a new process all it needs.
func (p *pair) hand(ctx context.Context, line *net.UnixConn) {
	line.SetDeadline(time.Now().Add(inheritTime))
	raw, err := p.door.SyscallConn()
	if err == nil {
		// Within Control the descriptor stays open; a copy through File would make it blocking, ours as well.
		if e := raw.Control(func(fd uintptr) { _, _, err = line.WriteMsgUnix([]byte("\n"), unix.UnixRights(int(fd)), nil) }); e != nil {
			err = e
		}
	}
	if err == nil {
		_, err = line.Write(append(p.heritage(), '\n'))
	}
	if err != nil {
		p.log.Warn("a new process came and could not be given the door", zap.Error(err))
		line.Close()
		return
	}
	line.SetDeadline(time.Time{})
	p.join(ctx, line, bufio.NewReader(line), true)
}

// heritage is what the new process starts from, in discovery's form; a loop that stands still adds no list.
func (p *pair) heritage() []byte {
	var a fastjson.Arena
	v := a.NewObject()
	texts := func(ids []string) *fastjson.Value {
		list := a.NewArray()
		for n, id := range ids {
			list.SetArrayItem(n, a.NewString(id))
		}
		return list
	}
	out, ever := p.front.loop.operatorDrains.All()
	v.Set("out", texts(out))
	v.Set("ever", texts(ever))
	// A list that does not fit is told in parts, once the line is joined.
	if k, err := p.front.loop.knowledge(inheritTime / 3); err == nil && len(k.servers) <= heritageMost {
		v.Set("list", k.parts(&a, heritageMost)[0])
	}
	return v.MarshalTo(nil)
}

// offered is offer for a process that can do without: it is then replaced as if there were none before it.
func (p *pair) offered(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := p.offer(ctx); err != nil {
		p.log.Warn("a new process could not ask for the door", zap.Error(err))
	}
}

// shared lets the address be listened at once more, should a new process find this one hung.
func shared(_, _ string, c syscall.RawConn) (err error) {
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}
