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
	minAcceptAfterTerm  = 650 * time.Millisecond // after SIGTERM connections come for up to 0.4 s
	acceptQuietPeriod   = 150 * time.Millisecond // without a new connection, before the door is closed; for kept ones to be used once more
	maxAddressWait      = 5 * time.Second        // for the address, at the start
	memoryLimitTenths   = 7                      // tenths of the limit
	maxShutdownTransfer = time.Minute            // of long transfers after SIGTERM, if nobody sends SIGKILL
	maxAskWithinMs      = 10000                  // milliseconds, for the module's waits: news count as told 6 s after a watch fell silent
	maxShutdownAbandon  = 3 * time.Second        // of an abandon time, that SIGKILL waits for
	shutdownMargin      = 400 * time.Millisecond // beyond the longest abandon time: less than SIGKILL leaves
)

// Start is all that a sidecar is told.
type Config struct {
	Name, Listen, Discovery   string
	Console                   string // "" for none
	stateDir                  string // where a file outlasts the process; "" for none
	Cores                     float64
	MemoryMB, Sockets         int
	terms                     logic.Terms
	names                     *terms.Names
	initialList               *endpointList
	initialListErr            error
	connectTimeout, idleClose logic.Millis
	graceToAnswer             logic.Millis  // past the abandon time in which an answer still counts
	watchSilence              time.Duration // of discovery, after which the watch has ended
	Peers                     []string      // the pool's addresses, by number; none outside a pool
	listPushed                bool          // the list comes unasked
	streamsPerConn            int           // exchanges on a connection
	messenger                 messenger     // nil for none
	pusher                    pusher        // nil for none
	placementRules            []string      // which products go where only, in words
	fixedSettings             string        // limits and settings as written: they hold until a restart
	readAt                    time.Duration // before the file was read, on the machine's monotonic clock
}

// Read decodes the file at path.
func Read(path string) (*Config, error) {
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
		s.stateDir = os.Getenv("TMPDIR")
	}
	return s, nil
}

// Decode checks what a sidecar cannot do without.
func Decode(text []byte) (*Config, error) {
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
	s := &Config{
		Name: string(v.GetStringBytes("name")), Listen: string(v.GetStringBytes("listen")),
		Discovery: string(v.GetStringBytes("discovery")), Console: string(v.GetStringBytes("console")), Cores: limits.GetFloat64("cores"),
		MemoryMB: limits.GetInt("memory_mb"), Sockets: limits.GetInt("sockets"),
		graceToAnswer:  terms.Millis(settings.Get("guarantees"), "grace-to-answer"),
		connectTimeout: terms.Millis(settings.Get("allowed"), "connect-timeout"),
		idleClose:      terms.Millis(settings.Get("allowed"), "idle-close"), watchSilence: watchSilenceTimeout,
	}
	for _, p := range settings.GetArray("products") {
		for _, rule := range []struct{ key, words string }{{"runs-in", "in"}, {"allowed-on", "on"}} {
			if list := p.Get(rule.key); list != nil && list.Type() != fastjson.TypeNull {
				s.placementRules = append(s.placementRules, fmt.Sprintf("%s goes to endpoints %s %s only", p.GetStringBytes("name"), rule.words, list))
			}
		}
	}
	s.fixedSettings = string(settings.MarshalTo(nil))
	if limits != nil {
		s.fixedSettings += string(limits.MarshalTo(nil))
	}
	if err := s.readDeployment(v, settings); err != nil {
		return nil, err
	}
	for _, addr := range []string{s.Listen, s.Discovery} {
		if addr == "" && s.listPushed && addr == s.Discovery {
			continue // serve says that it lacks one
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("listen or discovery: %w", err)
		}
	}
	if s.Cores < 0 || s.MemoryMB < 0 || s.Sockets < 0 {
		return nil, errors.New("limits: below 0")
	}
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil && rlimit.Cur < uint64(s.Sockets) {
		s.Sockets = int(rlimit.Cur)
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	if minSockets := 2*reservedDescriptors + maxCallers*min(len(s.Console), 1); s.Sockets < minSockets {
		return nil, fmt.Errorf("limits: %d sockets are needed", minSockets)
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
	s.terms.AskWithin = min(s.terms.AskWithin, maxAskWithinMs)
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
		if s.initialListErr = err; err == nil && len(known.servers) > 0 {
			known.full, s.initialList, s.terms.HasList = true, &known, true
		}
	}
	if s.listPushed && s.Discovery != "" {
		s.useAgentTerms(terms.Millis(settings.Get("guarantees"), "drain-grace"))
	}
	return s, nil
}

func (s *Config) String() string {
	known := 0
	if s.initialList != nil {
		known = len(s.initialList.servers)
	}
	text := fmt.Sprintf("%s listens on %s, asks %s; %d products, %d endpoints known; %g cores, %d MB, %d sockets",
		s.Name, s.Listen, s.Discovery, len(s.terms.Products), known, s.Cores, s.MemoryMB, s.Sockets)
	if len(s.Peers) > 0 {
		text += fmt.Sprintf("; number %d of a pool of %d", s.terms.SidecarNumber, len(s.Peers))
	}
	if s.listPushed {
		text += "; lists are pushed to the agent there"
	}
	for _, line := range s.placementRules {
		text += "; " + line
	}
	if err := s.unsupported(); err != nil {
		text += "; can't serve: " + err.Error()
	}
	if s.initialListErr != nil {
		text += "; known: " + s.initialListErr.Error()
	}
	return text
}

// memory is what this sidecar is given; a whole number of tenths of it is for the collector to keep below.
func (s *Config) memoryTenth() int64 { return int64(s.MemoryMB) << 20 / 10 }

// limit keeps the process within what it is given.
func (s *Config) applyLimits() {
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores)), 1))
	debug.SetMemoryLimit(s.memoryTenth() * memoryLimitTenths)
	debug.SetGCPercent(200)
}

// Serve runs until ctx ends (SIGTERM) and all that was taken is answered. At each again (SIGHUP) it reads anew.
func (s *Config) Serve(ctx context.Context, log *zap.Logger, reload <-chan os.Signal, read func() (*Config, error)) error {
	if err := s.unsupported(); err != nil {
		return err
	}
	s.applyLimits()
	handover, err := requestHandover(s.stateDir)
	if err != nil && err != errNoPredecessor {
		log.Warn("the process before this one does not answer; started without it", zap.Error(err))
	}
	var ln *net.TCPListener
	if handover != nil {
		// What was learned last stands above a list that may be as old as the first start. It is asked on at once.
		if ln = handover.listener; handover.list != nil {
			s.initialList = handover.list
		}
		s.terms.HasList, s.terms.TakesOver = false, true
	} else if ln, err = s.listen(ctx, s.Listen); err != nil {
		if ctx.Err() != nil {
			return nil // told to end while it waited for the address: nothing was taken yet
		}
		return err
	}
	if s.initialListErr != nil {
		log.Warn("the list at the start can't be read", zap.Error(s.initialListErr))
	}
	log.Debug("told", zap.String("limits_and_settings", s.fixedSettings))
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	srv := s.assemble(runCtx, log)
	if s.stateDir != "" { // before anybody can ask whether we serve
		srv.pair = &processGroup{dir: s.stateDir, memoryTenth: s.memoryTenth(), server: srv, listener: ln, log: log, startedAt: time.Now(), tookOver: handover != nil}
		srv.pair.predecessorTransfers.Store(-1)
	}
	if handover != nil {
		srv.loop.operatorDrains.Restore(handover.drainedIDs, handover.listedIDs)
		if handover.shared != nil {
			srv.loop.postUrgent(siblingUpdate{*handover.shared})
		}
	}
	if s.Console != "" {
		consoleListener, err := s.listen(ctx, s.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		operatorConsole := &console{server: srv, drains: srv.loop.operatorDrains, log: log}
		consoleServer := operatorConsole.httpServer()
		defer consoleServer.Close()
		go operatorConsole.serve(consoleServer, consoleListener)
	}
	if handover != nil {
		go srv.pair.runSibling(runCtx, handover.conn, handover.reader, false)
	}
	if s.stateDir != "" {
		srv.pair.tryListenForSuccessor(runCtx)
	}
	go s.followReloads(runCtx, srv, reload, read)
	var group *processGroup
	if handover != nil {
		group = srv.pair
	}
	err = s.serve(ctx, srv, ln, group)
	if srv.pair != nil {
		srv.pair.updateSiblingsNow()
	}
	log.Info("ends", srv.counters.fields(srv.descriptors)...)
	return err
}

// follow takes over a new discovery from the file whenever it is told to, also while the process ends. A file that can't
// be used changes nothing: an end on SIGHUP would be a crash.
func (s *Config) followReloads(ctx context.Context, srv *clientServer, reload <-chan os.Signal, read func() (*Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		next, err := readWithRetry(ctx, reload, read)
		if err != nil {
			srv.counters.failedReloads.Add(1)
			srv.log.Error("the new configuration can't be used; the old one stays", zap.Error(err))
			continue
		}
		srv.counters.reloads.Add(1)
		srv.log.Info("configuration read anew", zap.String("discovery", next.Discovery))
		if next.Listen != s.Listen || next.fixedSettings != s.fixedSettings {
			srv.log.Warn("another listen, limits or settings wait for a restart")
		}
		srv.loop.postUrgent(discoveryChanged{next.Discovery}) // its time runs from the signal, whatever waits in the queue
	}
}

// reloadPatience is for how long a start file that can't be read is tried again, and reloadPause the time between two tries:
// the change that it names counts as notified 4 s after the signal.
const (
	reloadRetryTime     = time.Second
	reloadRetryInterval = 50 * time.Millisecond
)

// readAgain reads the start file. A system call that fails is tried again for a while, since the signal won't come twice; a file
// that is read and wrong is not. Another signal in between begins the time anew.
func readWithRetry(ctx context.Context, reload <-chan os.Signal, read func() (*Config, error)) (*Config, error) {
	until := time.Now().Add(reloadRetryTime)
	for {
		config, err := read()
		var errno syscall.Errno
		if !errors.As(err, &errno) || time.Now().After(until) {
			return config, err
		}
		select {
		case <-ctx.Done():
			return config, err
		case <-reload:
			until = time.Now().Add(reloadRetryTime)
		case <-time.After(reloadRetryInterval):
		}
	}
}

// listen waits for an address that the process before this one has not let go of yet.
func (s *Config) listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	listenConfig := net.ListenConfig{}
	if s.Console != "" {
		listenConfig.Control = setReusePort
	}
	for started := time.Now(); ; {
		ln, err := listenConfig.Listen(ctx, "tcp", addr)
		if err == nil {
			return ln.(*net.TCPListener), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(started) > maxAddressWait || ctx.Err() != nil {
			return nil, err
		}
		time.Sleep(maxAddressWait / 100)
	}
}

// assemble starts all parts but the listener's; they end with ctx.
func (s *Config) assemble(ctx context.Context, log *zap.Logger) *clientServer {
	counters := &Counters{products: make([]productCounters, len(s.terms.Products))}
	limit := s.Sockets
	if s.Console != "" {
		limit -= maxCallers
	}
	descriptors := newDescriptorLimiter(limit, counters)
	descriptors.reserved = s.Sockets - limit + reservedDescriptors
	up := newUpstream(s.connectTimeout, s.idleClose, descriptors, counters)
	list := newDiscoveryClient(s.Discovery, s.watchSilence, s.names)
	list.configuredAt = s.readAt
	l := newLoop(ctx, s.terms, s.initialList, up, list, hands.New(s.stateDir, log), counters, log)
	l.grace = s.graceToAnswer / 2
	srv := &clientServer{
		loop: l, names: s.names, products: s.terms.Products, descriptors: descriptors, counters: counters, log: log,
		maxBodyBytesTotal: int64(s.MemoryMB) << 20 / 4, maxBufferedBodyBytes: max(int64(s.MemoryMB)<<20/256, maxBufferedBodyBytes),
	}
	up.updatesPending = func() bool { return srv.stalls.readDelay(time.Since(l.started)) > 0 }
	s.startPool(ctx, l)
	go l.run()
	go sweepIdleConns(ctx, up)
	if log.Core().Enabled(zap.DebugLevel) {
		go srv.logFigures(ctx)
	}
	go srv.detectStalls(ctx)
	if s.Console != "" {
		go l.operatorDrains.Run(ctx)
	}
	return srv
}

// serve takes clients until ctx ends; heir is nil unless the process takes over from another.
func (s *Config) serve(ctx context.Context, srv *clientServer, ln *net.TCPListener, group *processGroup) error {
	httpServer := srv.httpServer()
	failed := make(chan error, 1)
	listener := newClientListener(ln, srv.descriptors, srv.log)
	srv.listener.Store(listener)
	if group != nil {
		group.acceptWhenListConfirmed(srv.loop.ctx)
	}
	go func() { failed <- httpServer.Serve(listener) }()
	srv.accepting.Store(true)
	srv.log.Info("serving", zap.String("name", s.Name), zap.String("listen", ln.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		s.shutDown(srv, httpServer, listener)
		return nil
	}
}

// telling logs figures and the module's view once a second; only who asks for the least level pays for it.
func (s *clientServer) logFigures(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.log.Debug("figures", s.counters.fields(s.descriptors)...)
			s.loop.post(logView{})
		}
	}
}

func sweepIdleConns(ctx context.Context, up *upstream) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			up.closeStaleIdle(now)
		}
	}
}

// finish accepts for as long as connections come, answers what is held, and ends once no client is connected. Kept
// connections are closed while the door is open: a request that crosses that comes again on a new one, and must find us.
// Whatever was begun on a connection, be it the first byte of a head, is waited for.
func (s *Config) shutDown(srv *clientServer, httpServer *http.Server, ln net.Listener) {
	started := time.Now()
	longestAbandon := s.longestAbandon()
	until := started.Add(longestAbandon + shutdownMargin/2)
	srv.shutdownBy.Store(&until)
	srv.loop.postUrgent(loopCall(func(l *loop) { l.capDeadlines(l.at(until)) }))
	srv.log.Info("ending", zap.Int64("held", srv.loop.unanswered.Load()))
	accepting := true
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		elapsed := time.Since(started)
		if accepting && srv.pair != nil && srv.pair.successorReady() {
			// Whoever comes now is in a queue that the new process serves.
			accepting = false
			srv.replaced.Store(true)
			ln.Close()
			srv.log.Info("the new process has the door")
		}
		if accepting && elapsed > minAcceptAfterTerm && (srv.listener.Load().sinceLastAccept() > acceptQuietPeriod || time.Now().After(until)) {
			accepting = false
			ln.Close()
		}
		if elapsed > acceptQuietPeriod { // until then those that are used close with their answer
			srv.descriptors.evictQuiet(!accepting)
		}
		clients, _ := srv.descriptors.connections()
		if !accepting && clients == 0 && srv.activeHandlers.Load() == 0 && srv.loop.unanswered.Load() == 0 {
			break
		}
		// A transfer that goes on has no abandon time: whoever sends SIGKILL decides how long it may take.
		if elapsed > longestAbandon+shutdownMargin && srv.transfers.Load()+srv.activeRequests.Load() == 0 || elapsed > maxShutdownTransfer {
			break
		}
	}
	ctx, done := context.WithTimeout(context.Background(), shutdownMargin/4)
	defer done()
	if httpServer.Shutdown(ctx) != nil {
		httpServer.Close()
	}
}

// longest is the longest abandon time of any product, as far as SIGKILL waits for it.
func (s *Config) longestAbandon() time.Duration {
	longest := logic.Millis(0)
	for _, p := range s.terms.Products {
		if longest = max(longest, p.Abandon); p.Abandon <= 0 {
			return maxShutdownAbandon
		}
	}
	return min(toDuration(longest), maxShutdownAbandon)
}
