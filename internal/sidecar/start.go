// This file owns the configuration that a sidecar reads at its start (the start file), the limits set on the process, and
// the order in which the parts of the sidecar start and shut down, from the start of the process to SIGTERM. Invariant:
// shutdown must not leave an exchange unanswered.
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
	// minAcceptAfterTerm is how long connections are accepted after SIGTERM at the least: clients open new ones for up to 0.4 s.
	minAcceptAfterTerm = 650 * time.Millisecond
	// acceptQuietPeriod is the time without a new connection after which the listener is closed during shutdown. Idle
	// keep-alive connections are left open for as long after SIGTERM, so that a client may use them once more.
	acceptQuietPeriod = 150 * time.Millisecond
	// maxAddressWait bounds the wait at the start for an address that another process still listens on.
	maxAddressWait = 5 * time.Second
	// maxShutdownTransfer bounds long transfers after SIGTERM, in case no SIGKILL follows.
	maxShutdownTransfer = time.Minute
	// maxAskWithinMs is the upper limit of the setting ask-within, which bounds the module's waits for discovery: changes
	// count as notified 6 s after a watch fell silent.
	maxAskWithinMs = 10000
	// maxShutdownAbandon is the longest abandon time that SIGKILL waits for.
	maxShutdownAbandon = 3 * time.Second
	// shutdownMargin is added to the longest abandon time at shutdown; it is less than the time that SIGKILL leaves.
	shutdownMargin = 400 * time.Millisecond
)

// Config is the configuration of a sidecar, decoded from its start file.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of discovery
	Console        string // address of the operators' console; "" for no console
	stateDir       string // directory of the files that outlast the process; "" for none
	Cores          float64
	MemoryMB       int
	Sockets        int // limit of the process's descriptors
	terms          logic.Terms
	names          *terms.Names
	initialList    *endpointList // endpoint list of the start file or of the process before this one; nil for none
	initialListErr error         // why the endpoint list of the start file could not be decoded
	connectTimeout logic.Millis
	idleClose      logic.Millis  // idle time after which endpoints close a connection
	graceToAnswer  logic.Millis  // time past the abandon time in which an answer still counts
	watchSilence   time.Duration // silence of discovery after which the watch counts as ended
	Peers          []string      // addresses of the pool's sidecars, by number; none outside a pool
	listPushed     bool          // the endpoint list is pushed instead of requested
	streamsPerConn int           // concurrent exchanges on a connection
	messenger      messenger     // transport to the pool's other sidecars; nil for none
	pusher         pusher        // source of pushed endpoint lists; nil for none
	placementRules []string      // placement constraints of the products, as text for String
	fixedSettings  string        // limits and settings as written in the file; a reload can't change them
	readAt         time.Duration // time just before the file was read, on the machine's monotonic clock
}

// Read decodes the start file at path and checks the address of the console.
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
		s.Console = addr // takes precedence: it is set for this start, while the file may be older
	}
	if s.Console != "" {
		if _, _, err := net.SplitHostPort(s.Console); err != nil {
			return nil, fmt.Errorf("console: %w", err)
		}
		s.stateDir = os.Getenv("TMPDIR")
	}
	return s, nil
}

// Decode decodes the text of a start file. It checks the values that a sidecar can't run without and fills in the defaults of others.
func Decode(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	seed, err := strconv.ParseUint(string(v.GetStringBytes("seed")), 16, 64)
	if err != nil {
		return nil, errors.New("seed: must be up to 16 hexadecimal digits")
	}
	settings, limits := v.Get("settings"), v.Get("limits")
	if len(settings.GetArray("products")) == 0 {
		return nil, errors.New("settings.products: no products given")
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
			continue // Serve reports the missing source of lists (see unsupported)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("listen or discovery: %w", err)
		}
	}
	if s.Cores < 0 || s.MemoryMB < 0 || s.Sockets < 0 {
		return nil, errors.New("limits: cores, memory_mb and sockets must not be below 0")
	}
	var rlimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit) == nil && rlimit.Cur < uint64(s.Sockets) {
		s.Sockets = int(rlimit.Cur)
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	if minSockets := 2*reservedDescriptors + maxCallers*min(len(s.Console), 1); s.Sockets < minSockets {
		return nil, fmt.Errorf("limits: sockets: at least %d are needed", minSockets)
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.idleClose <= 0 {
		s.idleClose = 10000
	}
	s.terms, s.names = terms.Parse(settings, seed)
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
		// An endpoint list that can't be decoded does not prevent the start: the watch delivers another.
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

// String returns the summary that the check command prints.
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

// applyLimits sets the Go runtime's processor count and the pace of its collector.
func (s *Config) applyLimits() {
	runtime.GOMAXPROCS(max(int(math.Ceil(s.Cores)), 1))
	debug.SetGCPercent(200)
}

// Serve runs the sidecar until ctx ends (SIGTERM) and every accepted exchange is answered. On each signal from reload
// (SIGHUP) it reads the start file again.
func (s *Config) Serve(ctx context.Context, log *zap.Logger, reload <-chan os.Signal, read func() (*Config, error)) error {
	if err := s.unsupported(); err != nil {
		return err
	}
	s.applyLimits()
	handover, err := requestHandover(s.stateDir)
	if err != nil && err != errNoPredecessor {
		log.Warn("handover from the running process failed; starting without its state", zap.Error(err))
	}
	var ln *net.TCPListener
	if handover != nil {
		// The predecessor's list takes precedence over that of the start file, which may be as old as the first start. It
		// is not taken for current (HasList is false), so that discovery is called at once.
		if ln = handover.listener; handover.list != nil {
			s.initialList = handover.list
		}
		s.terms.HasList, s.terms.TakesOver = false, true
	} else if ln, err = s.listen(ctx, s.Listen); err != nil {
		if ctx.Err() != nil {
			return nil // SIGTERM arrived during the wait for the address: no client was accepted yet
		}
		return err
	}
	if s.initialListErr != nil {
		log.Warn("endpoint list of the start file (key known) can't be decoded; starting without it", zap.Error(s.initialListErr))
	}
	log.Debug("told", zap.String("limits_and_settings", s.fixedSettings))
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	srv := s.assemble(runCtx, log)
	go srv.descriptors.memory.follow(runCtx)
	if s.stateDir != "" { // set before the first health check can arrive
		srv.processes = &processGroup{dir: s.stateDir, server: srv, listener: ln, log: log, startedAt: time.Now(), tookOver: handover != nil}
		srv.processes.predecessorTransfers.Store(-1)
		srv.loop.claims.Store(srv.processes)
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
		go srv.processes.runSibling(runCtx, handover.conn, handover.reader, handover.source, false)
	}
	if s.stateDir != "" {
		srv.processes.tryListenForSuccessor(runCtx)
	}
	go s.followReloads(runCtx, srv, reload, read)
	var group *processGroup
	if handover != nil {
		group = srv.processes
	}
	err = s.serve(ctx, srv, ln, group)
	if srv.processes != nil {
		srv.processes.updateSiblingsNow()
	}
	log.Info("ends", srv.counters.fields(srv.descriptors)...)
	return err
}

// followReloads reads the start file again on each signal from reload and applies a changed address of discovery, also during
// shutdown. A file that can't be used changes nothing: ending the process on SIGHUP would amount to a crash.
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
			srv.log.Error("reload failed: the start file can't be used; keeping the previous configuration", zap.Error(err))
			continue
		}
		srv.counters.reloads.Add(1)
		srv.log.Info("configuration reloaded", zap.String("discovery", next.Discovery))
		if next.Listen != s.Listen || next.fixedSettings != s.fixedSettings {
			srv.log.Warn("changes of listen, limits or settings in the start file take effect only after a restart")
		}
		srv.loop.postUrgent(discoveryChanged{next.Discovery}) // urgent: its deadline counts from the signal, however long the queue is
	}
}

const (
	// reloadRetryTime is how long reading the start file is retried: the change in it counts as notified 4 s after the signal.
	reloadRetryTime = time.Second
	// reloadRetryInterval is the time between two tries.
	reloadRetryInterval = 50 * time.Millisecond
)

// readWithRetry reads the start file for a reload. A failed system call is retried for reloadRetryTime, since the signal is not
// repeated; a file that was read but is invalid is not retried. A further signal restarts the time.
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

// listen opens a TCP listener on addr. It waits up to maxAddressWait while another process still listens there.
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

// assemble creates the parts of the sidecar and starts all but the client listener; they stop when ctx ends.
func (s *Config) assemble(ctx context.Context, log *zap.Logger) *clientServer {
	counters := &Counters{products: make([]productCounters, len(s.terms.Products))}
	limit := s.Sockets
	if s.Console != "" {
		limit -= maxCallers
	}
	descriptors := newDescriptorLimiter(limit, counters)
	descriptors.reserved = s.Sockets - limit + reservedDescriptors
	descriptors.memory = newMemoryBudget(int64(s.MemoryMB) << 20)
	descriptors.memory.replaceable = s.stateDir != ""
	up := newUpstream(s.connectTimeout, s.idleClose, descriptors, counters)
	list := newDiscoveryClient(s.Discovery, s.watchSilence, s.names)
	list.configuredAt = s.readAt
	l := newLoop(ctx, s.terms, s.initialList, up, list, hands.New(s.stateDir, log), counters, log)
	l.grace = s.graceToAnswer / 2
	srv := &clientServer{
		loop: l, names: s.names, products: s.terms.Products, descriptors: descriptors, counters: counters, log: log,
		unreadBudget: unreadBudget{limit: int64(float64(int64(s.MemoryMB)<<20) * unreadMemoryShare)},
	}
	up.updatesPending = func() bool { return srv.stalls.readDelay(time.Since(l.started)) > 0 }
	s.startPool(ctx, l)
	go l.run()
	descriptors.countRefusal = srv.countRefusal
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

// serve accepts clients until ctx ends, then shuts down. group is nil unless the process takes over from a predecessor.
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

// logFigures logs the counters and the module's view once a second; it runs at log level debug only, because of its cost.
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

// sweepIdleConns closes stale idle connections to endpoints once a second until ctx ends.
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

// shutDown accepts connections until no more arrive, answers all open exchanges, and returns once no client is connected. Idle
// keep-alive connections are closed while the listener is still open: a client whose request crosses the close repeats it on
// a new connection, which must still be accepted. A request that has begun, even with one byte of its head, is waited for.
func (s *Config) shutDown(srv *clientServer, httpServer *http.Server, ln net.Listener) {
	started := time.Now()
	longestAbandon := s.longestAbandon()
	until := started.Add(longestAbandon + shutdownMargin/2)
	srv.shutdownBy.Store(&until)
	srv.loop.postUrgent(loopCall((*loop).addShutdownTimers))
	srv.log.Info("ending", zap.Int64("held", srv.loop.unanswered.Load()))
	accepting := true
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		elapsed := time.Since(started)
		if accepting && srv.processes != nil && srv.processes.successorReady() {
			// Clients that connect from now on are in the accept queue that both processes share; the successor accepts them.
			accepting = false
			srv.replaced.Store(true)
			ln.Close()
			srv.log.Info("listener closed: the successor process is ready and accepts the clients")
		}
		if accepting && elapsed > minAcceptAfterTerm && (srv.listener.Load().sinceLastAccept() > acceptQuietPeriod || time.Now().After(until)) {
			accepting = false
			ln.Close()
		}
		if elapsed > acceptQuietPeriod { // until then a connection that is used closes after its answer
			srv.descriptors.evictQuiet(!accepting)
		}
		clients, _ := srv.descriptors.connections()
		if !accepting && clients == 0 && srv.activeHandlers.Load() == 0 && srv.loop.unanswered.Load() == 0 {
			break
		}
		// A running transfer has no abandon time: the sender of SIGKILL decides how long it may take.
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

// longestAbandon returns the longest abandon time of the products, at most maxShutdownAbandon, which is also the value for a
// product without an abandon time.
func (s *Config) longestAbandon() time.Duration {
	longest := logic.Millis(0)
	for _, p := range s.terms.Products {
		if longest = max(longest, p.Abandon); p.Abandon <= 0 {
			return maxShutdownAbandon
		}
	}
	return min(toDuration(longest), maxShutdownAbandon)
}
