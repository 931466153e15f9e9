// Start: what a sidecar is told when it starts, and its life from there to SIGTERM. This file owns the reading of that
// text, the limits set on the process and the order in which the parts start and end. It must never leave an exchange
// behind at its end.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/internal/clock"
	"github.com/lynxjunction/lynxjunction/internal/hands"
	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	acceptLast   = 650 * time.Millisecond // after SIGTERM connections come for up to 0.4 s
	quietLast    = 150 * time.Millisecond // without a new connection, before the door is closed; for kept ones to be used once more
	addrWait     = 5 * time.Second        // for the address, at the start
	memoryPart   = 7                      // tenths of the limit
	transferLast = time.Minute            // of long transfers after SIGTERM, if nobody sends SIGKILL
	askMost      = 10000                  // milliseconds, for the module's waits: news count as told 6 s after a watch fell silent
	endLongest   = 3 * time.Second        // of an abandon time, that SIGKILL waits for
	endMargin    = 400 * time.Millisecond // beyond the longest abandon time: less than SIGKILL leaves
)

// Start is all that a sidecar is told.
type Start struct {
	Name, Listen, Discovery string
	Console                 string // "" for none
	dir                     string // where a file outlasts the process; "" for none
	Cores                   float64
	MemoryMB, Sockets       int
	terms                   logic.Terms
	names                   *terms.Names
	known                   *endpointList
	knownFault              error
	connect, idleClose      logic.Millis
	grace                   logic.Millis  // past the abandon time in which an answer still counts
	silence                 time.Duration // of discovery, after which the watch has ended
	Peers                   []string      // the pool's addresses, by number; none outside a pool
	pushed                  bool          // the list comes unasked
	streams                 int           // exchanges on a connection
	messages                messenger     // nil for none
	lists                   pusher        // nil for none
	placement               []string      // which products go where only, in words
	lasting                 string        // limits and settings as written: they hold until a restart
	readAt                  time.Duration // before the file was read, on the machine's monotonic clock
}

// Read decodes the file at path.
func Read(path string) (*Start, error) {
	readAt := clock.Monotonic()
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.readAt = readAt
	if addr := os.Getenv("RELAY_CONSOLE"); addr != "" {
		s.Console = addr // of this start; the file may be older
	}
	if s.Console != "" {
		if _, _, err := net.SplitHostPort(s.Console); err != nil {
			return nil, fmt.Errorf("console: %w", err)
		}
		s.dir = os.Getenv("TMPDIR")
	}
	return s, nil
}

// Decode checks what a sidecar cannot do without.
func Decode(text []byte) (*Start, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	seed, err := strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, errors.New("seed: hex digits are needed")
	}
	settings, limits := v.Get("settings"), v.Get("limits")
	if len(settings.GetArray("products")) == 0 {
		return nil, errors.New("settings: no products")
	}
	s := &Start{
		Name: string(v.GetStringBytes("name")), Listen: string(v.GetStringBytes("listen")),
		Discovery: string(v.GetStringBytes("discovery")), Console: string(v.GetStringBytes("console")), Cores: limits.GetFloat64("cores"),
		MemoryMB: limits.GetInt("memory_mb"), Sockets: limits.GetInt("sockets"),
		grace:     terms.Millis(settings.Get("guarantees"), "grace-to-answer"),
		connect:   terms.Millis(settings.Get("allowed"), "connect-timeout"),
		idleClose: terms.Millis(settings.Get("allowed"), "idle-close"), silence: watchSilenceTimeout,
	}
	for _, p := range settings.GetArray("products") {
		for _, to := range []struct{ key, words string }{{"runs-in", "in"}, {"allowed-on", "on"}} {
			if list := p.Get(to.key); list != nil && list.Type() != fastjson.TypeNull {
				s.placement = append(s.placement, fmt.Sprintf("%s goes to endpoints %s %s only", p.GetStringBytes("name"), to.words, list))
			}
		}
	}
	s.lasting = string(settings.MarshalTo(nil))
	if limits != nil {
		s.lasting += string(limits.MarshalTo(nil))
	}
	if err := s.readDeployment(v, settings); err != nil {
		return nil, err
	}
	for _, addr := range []string{s.Listen, s.Discovery} {
		if addr == "" && s.pushed && addr == s.Discovery {
			continue // serve says that it lacks one
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("listen or discovery: %w", err)
		}
	}
	if s.Cores < 0 || s.MemoryMB < 0 || s.Sockets < 0 {
		return nil, errors.New("limits: below 0")
	}
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) == nil && own.Cur < uint64(s.Sockets) {
		s.Sockets = int(own.Cur)
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	if least := 2*reservedDescriptors + callersMost*min(len(s.Console), 1); s.Sockets < least {
		return nil, fmt.Errorf("limits: %d sockets are needed", least)
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.idleClose <= 0 {
		s.idleClose = 10000
	}
	s.terms, s.names = terms.From(settings, seed)
	if injectedFault == "budget" {
		s.terms.BudgetWindow = 0
	}
	if s.terms.AskWithin <= 0 {
		s.terms.AskWithin = 10000
	}
	s.terms.AskWithin = min(s.terms.AskWithin, askMost)
	s.terms.MaxListWait = toMillis(maxCallInterval)
	s.terms.Notified = logic.NotificationBounds{
		Reached: toMillis(notifiedAfterReached), Moved: toMillis(notifiedAfterMoved), Ended: toMillis(notifiedAfterEnded),
	}
	if injectedFault == "calls" {
		s.terms.Notified = logic.NotificationBounds{}
	}
	if k := v.Get("known"); k != nil && k.Type() != fastjson.TypeNull {
		// A list that can't be read is no reason not to start: the watch brings another.
		known, err := decodeList(k)
		if s.knownFault = err; err == nil && len(known.servers) > 0 {
			known.full, s.known, s.terms.HasList = true, &known, true
		}
	}
	if s.pushed && s.Discovery != "" {
		s.useAgentTerms(terms.Millis(settings.Get("guarantees"), "drain-grace"))
	}
	return s, nil
}

func (s *Start) String() string {
	known := 0
	if s.known != nil {
		known = len(s.known.servers)
	}
	text := fmt.Sprintf("%s listens on %s, asks %s; %d products, %d endpoints known; %g cores, %d MB, %d sockets",
		s.Name, s.Listen, s.Discovery, len(s.terms.Products), known, s.Cores, s.MemoryMB, s.Sockets)
	if len(s.Peers) > 0 {
		text += fmt.Sprintf("; number %d of a pool of %d", s.terms.SidecarNumber, len(s.Peers))
	}
	if s.pushed {
		text += "; lists are pushed to the agent there"
	}
	for _, line := range s.placement {
		text += "; " + line
	}
	if err := s.unsupported(); err != nil {
		text += "; can't serve: " + err.Error()
	}
	if s.knownFault != nil {
		text += "; known: " + s.knownFault.Error()
	}
	return text
}

// memory is what this sidecar is given; a whole number of tenths of it is for the collector to keep below.
func (s *Start) memory() int64 { return int64(s.MemoryMB) << 20 / 10 }

// limit keeps the process within what it is given.
func (s *Start) limit() {
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores)), 1))
	debug.SetMemoryLimit(s.memory() * memoryPart)
	debug.SetGCPercent(200)
}

// Serve runs until ctx ends (SIGTERM) and all that was taken is answered. At each again (SIGHUP) it reads anew.
func (s *Start) Serve(ctx context.Context, log *zap.Logger, again <-chan os.Signal, read func() (*Start, error)) error {
	if err := s.unsupported(); err != nil {
		return err
	}
	s.limit()
	past, err := inherit(s.dir)
	if err != nil && err != errNoElder {
		log.Warn("the process before this one does not answer; started without it", zap.Error(err))
	}
	var ln *net.TCPListener
	if past != nil {
		// What was learned last stands above a list that may be as old as the first start. It is asked on at once.
		if ln = past.door; past.known != nil {
			s.known = past.known
		}
		s.terms.HasList, s.terms.TakesOver = false, true
	} else if ln, err = s.listen(ctx, s.Listen); err != nil {
		if ctx.Err() != nil {
			return nil // told to end while it waited for the address: nothing was taken yet
		}
		return err
	}
	if s.knownFault != nil {
		log.Warn("the list at the start can't be read", zap.Error(s.knownFault))
	}
	log.Debug("told", zap.String("limits_and_settings", s.lasting))
	life, end := context.WithCancel(context.Background())
	defer end()
	srv := s.assemble(life, log)
	if s.dir != "" { // before anybody can ask whether we serve
		srv.pair = &pair{dir: s.dir, memory: s.memory(), front: srv, door: ln, log: log, born: time.Now(), heir: past != nil}
		srv.pair.moving.Store(-1)
	}
	if past != nil {
		srv.loop.operatorDrains.Inherit(past.out, past.ever)
		if past.told != nil {
			srv.loop.postUrgent(siblingTold{*past.told})
		}
	}
	if s.Console != "" {
		at, err := s.listen(ctx, s.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		desk := &console{front: srv, hands: srv.loop.operatorDrains, log: log}
		web := desk.httpServer()
		defer web.Close()
		go desk.serve(web, at)
	}
	if past != nil {
		go srv.pair.join(life, past.line, past.read, false)
	}
	if s.dir != "" {
		srv.pair.offered(life)
	}
	go s.follow(life, srv, again, read)
	var heir *pair
	if past != nil {
		heir = srv.pair
	}
	err = s.serve(ctx, srv, ln, heir)
	if srv.pair != nil {
		srv.pair.assure()
	}
	log.Info("ends", srv.counters.fields(srv.descriptors)...)
	return err
}

// follow takes over a new discovery from the file whenever it is told to, also while the process ends. A file that can't
// be used changes nothing: an end on SIGHUP would be a crash.
func (s *Start) follow(ctx context.Context, srv *clientServer, again <-chan os.Signal, read func() (*Start, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		fresh, err := readAgain(ctx, again, read)
		if err != nil {
			srv.counters.failedReloads.Add(1)
			srv.log.Error("the new configuration can't be used; the old one stays", zap.Error(err))
			continue
		}
		srv.counters.reloads.Add(1)
		srv.log.Info("configuration read anew", zap.String("discovery", fresh.Discovery))
		if fresh.Listen != s.Listen || fresh.lasting != s.lasting {
			srv.log.Warn("another listen, limits or settings wait for a restart")
		}
		srv.loop.postUrgent(discoveryChanged{fresh.Discovery}) // its time runs from the signal, whatever waits in the queue
	}
}

// reloadPatience is for how long a start file that can't be read is tried again, and reloadPause the time between two tries:
// the change that it names counts as notified 4 s after the signal.
const (
	reloadPatience = time.Second
	reloadPause    = 50 * time.Millisecond
)

// readAgain reads the start file. A system call that fails is tried again for a while, since the signal won't come twice; a file
// that is read and wrong is not. Another signal in between begins the time anew.
func readAgain(ctx context.Context, again <-chan os.Signal, read func() (*Start, error)) (*Start, error) {
	until := time.Now().Add(reloadPatience)
	for {
		fresh, err := read()
		var failed syscall.Errno
		if !errors.As(err, &failed) || time.Now().After(until) {
			return fresh, err
		}
		select {
		case <-ctx.Done():
			return fresh, err
		case <-again:
			until = time.Now().Add(reloadPatience)
		case <-time.After(reloadPause):
		}
	}
}

// listen waits for an address that the process before this one has not let go of yet.
func (s *Start) listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	how := net.ListenConfig{}
	if s.Console != "" {
		how.Control = shared
	}
	for began := time.Now(); ; {
		ln, err := how.Listen(ctx, "tcp", addr)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > addrWait || ctx.Err() != nil {
			return nil, err
		}
		time.Sleep(addrWait / 100)
	}
}

// assemble starts all parts but the listener's; they end with ctx.
func (s *Start) assemble(ctx context.Context, log *zap.Logger) *clientServer {
	counters := &Counters{products: make([]productCounters, len(s.terms.Products))}
	limit := s.Sockets
	if s.Console != "" {
		limit -= callersMost
	}
	books := newDescriptorLimiter(limit, counters)
	books.reserved = s.Sockets - limit + reservedDescriptors
	up := newUpstream(s.connect, s.idleClose, books, counters)
	list := newDiscoveryClient(s.Discovery, s.silence, s.names)
	list.configuredAt = s.readAt
	l := newLoop(ctx, s.terms, s.known, up, list, hands.New(s.dir, log), counters, log)
	l.grace = s.grace / 2
	srv := &clientServer{
		loop: l, names: s.names, products: s.terms.Products, descriptors: books, counters: counters, log: log,
		maxBodyBytesTotal: int64(s.MemoryMB) << 20 / 4, maxBufferedBodyBytes: max(int64(s.MemoryMB)<<20/256, maxBufferedBodyBytes),
	}
	up.updatesPending = func() bool { return srv.stalls.readDelay(time.Since(l.started)) > 0 }
	s.startPool(ctx, l)
	go l.run()
	go sweeping(ctx, up)
	if log.Core().Enabled(zap.DebugLevel) {
		go srv.telling(ctx)
	}
	go srv.detectStalls(ctx)
	if s.Console != "" {
		go l.operatorDrains.Run(ctx)
	}
	return srv
}

// serve takes clients until ctx ends; heir is nil unless the process takes over from another.
func (s *Start) serve(ctx context.Context, srv *clientServer, ln *net.TCPListener, heir *pair) error {
	web := srv.httpServer()
	failed := make(chan error, 1)
	listener := newClientListener(ln, srv.descriptors, srv.log)
	srv.listener.Store(listener)
	if heir != nil {
		heir.openWhenSettled(srv.loop.ctx)
	}
	go func() { failed <- web.Serve(listener) }()
	srv.accepting.Store(true)
	srv.log.Info("serving", zap.String("name", s.Name), zap.String("listen", ln.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		s.finish(srv, web, listener)
		return nil
	}
}

// telling logs figures and the module's view once a second; only who asks for the least level pays for it.
func (f *clientServer) telling(ctx context.Context) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			f.log.Debug("figures", f.counters.fields(f.descriptors)...)
			f.loop.post(logView{})
		}
	}
}

func sweeping(ctx context.Context, up *upstream) {
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-beat.C:
			up.closeStaleIdle(now)
		}
	}
}

// finish accepts for as long as connections come, answers what is held, and ends once no client is connected. Kept
// connections are closed while the door is open: a request that crosses that comes again on a new one, and must find us.
// Whatever was begun on a connection, be it the first byte of a head, is waited for.
func (s *Start) finish(srv *clientServer, web *http.Server, ln net.Listener) {
	began := time.Now()
	longest := s.longest()
	until := began.Add(longest + endMargin/2)
	srv.shutdownBy.Store(&until)
	srv.loop.postUrgent(asked(func(l *loop) { l.capDeadlines(l.at(until)) }))
	srv.log.Info("ending", zap.Int64("held", srv.loop.unanswered.Load()))
	accepting := true
	beat := time.NewTicker(10 * time.Millisecond)
	defer beat.Stop()
	for ; ; <-beat.C {
		gone := time.Since(began)
		if accepting && srv.pair != nil && srv.pair.succeeds() {
			// Whoever comes now is in a queue that the new process serves.
			accepting = false
			srv.replaced.Store(true)
			ln.Close()
			srv.log.Info("the new process has the door")
		}
		if accepting && gone > acceptLast && (srv.listener.Load().sinceLastAccept() > quietLast || time.Now().After(until)) {
			accepting = false
			ln.Close()
		}
		if gone > quietLast { // until then those that are used close with their answer
			srv.descriptors.evictQuiet(!accepting)
		}
		clients, _ := srv.descriptors.connections()
		if !accepting && clients == 0 && srv.activeHandlers.Load() == 0 && srv.loop.unanswered.Load() == 0 {
			break
		}
		// A transfer that goes on has no abandon time: whoever sends SIGKILL decides how long it may take.
		if gone > longest+endMargin && srv.transfers.Load()+srv.activeRequests.Load() == 0 || gone > transferLast {
			break
		}
	}
	ctx, done := context.WithTimeout(context.Background(), endMargin/4)
	defer done()
	if web.Shutdown(ctx) != nil {
		web.Close()
	}
}

// longest is the longest abandon time of any product, as far as SIGKILL waits for it.
func (s *Start) longest() time.Duration {
	longest := logic.Millis(0)
	for _, p := range s.terms.Products {
		if longest = max(longest, p.Abandon); p.Abandon <= 0 {
			return endLongest
		}
	}
	return min(toDuration(longest), endLongest)
}
