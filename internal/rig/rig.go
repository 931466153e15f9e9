// Package rig runs a scenario against real sidecar processes on loopback. It starts the processes, sends them requests as
// their clients, acts as their endpoints and as discovery, injects the scenario's faults and terminates the processes.
// The outcome is judged from the rig's own records of clients and endpoints (internal/records), never from the sidecars'
// counters. The rig executes no programs but those it is given.
package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/links"
	"github.com/lynxjunction/lynxjunction/internal/records"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

const (
	startTimeout        = 60 * time.Second       // until a process serves; hundreds of others may be starting beside it
	answerGraceMs       = 550.0                  // after the abandon time; an answer within it does not count as lost
	answerTimeoutMs     = answerGraceMs + 1500   // after the abandon time, until a client gives up on an answer
	socketSlackMs       = 50.0                   // added to the drain grace, since the legs pass real sockets
	killDelay           = 700 * time.Millisecond // from SIGTERM to SIGKILL, in addition to the longest abandon time
	newConnectionPeriod = 300 * time.Millisecond // after SIGTERM, in which clients still open connections; open ones are used to the end
	drainPeriod         = 5 * time.Second        // from the start of an endpoint's drain until it is listed as terminated
	removedServingMs    = 10000.0                // after an endpoint is listed as terminated; it still answers, so that legs sent to it are recorded
	maxConcurrentStarts = 16                     // processes that are starting at the same time
	faultAftermathMs    = 1000.0                 // after the end of a fault, in which data that it held up still arrives
)

// serverErrors receives the error log of the rig's HTTP servers. It ends the run when the rig is out of file descriptors
// and drops every other message, since those are caused by the injected faults.
type serverErrors struct{ rig *Rig }

// Write takes one message of the error log.
func (c serverErrors) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte(syscall.EMFILE.Error())) {
		c.rig.fail(c.rig.explainLimit(syscall.EMFILE))
	}
	return len(text), nil
}

// serverLog returns the error log for the rig's HTTP servers.
func (r *Rig) serverLog() *log.Logger { return log.New(serverErrors{r}, "", 0) }

// Rig is one run of a scenario with real processes.
type Rig struct {
	Program        string                        // path of the sidecar's executable
	UpgradeProgram string                        // path of the executable that upgrades start; Program if empty
	Dir            string                        // directory for start files, logs and the sidecars' temporary files
	Env            []string                      // additional environment of the sidecars
	OnEvent        func(at float64, text string) // called for each event of the run, with its time in ms; may be nil

	scenario     *scenario.Scenario
	book         *records.Book
	addrs        *addrBlock
	startedAt    time.Time
	trafficStart atomic.Int64 // ns from startedAt to the start of the traffic; 0 until then
	listServer   *listServer
	links        struct {
		list        []*links.Link          // from each sidecar to discovery; nil where no fault needs one
		clients     []*links.Link          // from the clients of each sidecar to it; nil where no fault needs one
		consoles    []*links.Link          // from the operator to each sidecar's console; nil where no fault needs one
		classOf     []int                  // link class of each sidecar; class 0 has no links to endpoints
		classFaults [][]int                // numbers of the faults of each link class
		upstream    map[[2]int]*links.Link // by link class and endpoint number
	}

	mu         sync.Mutex
	endpoints  []*endpoint
	current    map[string]*endpoint    // by the name of the scenario's node; a replacement takes the entry of its predecessor
	sidecars   []*process              // the serving process of each sidecar; nil while it is down
	processes  []*process              // all that were started
	clients    []*client               // by sidecar
	lastKillMs map[int]float64         // by sidecar: when one of its two processes was last killed during an upgrade
	firstErr   error                   // why the run was ended early
	cancel     context.CancelCauseFunc // ends the run
	faultRuns  sync.WaitGroup
}

// Result is the outcome of a run.
type Result struct {
	Scenario      *scenario.Scenario
	Book          *records.Book
	Broken        []records.Violation
	Usage         []Usage
	Events        []Event
	Endpoints     int           // number at the start, without the replacements that came later
	StartDuration time.Duration // until all sidecars served
}

// Event is an action of the run, such as the start or end of a fault, for the report.
type Event struct {
	At   float64 // ms since the traffic started
	Text string
}

// now returns the time in ms since the traffic started; before that, since the run started.
func (r *Rig) now() float64 {
	return float64(int64(time.Since(r.startedAt))-r.trafficStart.Load()) / float64(time.Millisecond)
}

// explainLimit adds to an error of an exhausted system limit which limit it is and how to stay below it.
func (r *Rig) explainLimit(err error) error {
	var openFiles syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &openFiles)
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return fmt.Errorf("the rig's own file descriptors ran out (the limit is %d): use fewer sidecars or endpoints, or raise ulimit -n: %w", openFiles.Cur, err)
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return fmt.Errorf("no loopback ports left for new connections: use fewer sidecars or less traffic: %w", err)
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOMEM):
		return fmt.Errorf("cannot start more processes on this machine: use fewer sidecars: %w", err)
	}
	return err
}

// fail ends the run with an error. The first error is kept.
func (r *Rig) fail(err error) {
	r.mu.Lock()
	if r.firstErr == nil {
		r.firstErr = err
	}
	r.mu.Unlock()
	r.cancel(err)
}

// afterFunc calls do after a delay. The timer is not stopped when the run ends.
func (r *Rig) afterFunc(wait time.Duration, do func()) { time.AfterFunc(wait, do) }

// Run runs the scenario. It returns an error if the scenario could not be run or a process failed; broken rules are
// reported in the result.
func (r *Rig) Run(ctx context.Context, s *scenario.Scenario) (*Result, error) {
	ctx, r.cancel = context.WithCancelCause(ctx)
	defer r.cancel(nil)
	r.scenario, r.current, r.lastKillMs, r.startedAt = s, map[string]*endpoint{}, map[int]float64{}, time.Now()
	if r.OnEvent == nil {
		r.OnEvent = func(float64, string) {}
	}
	terms := records.Terms{AnswerGraceMs: answerGraceMs, DrainGraceMs: s.Fleet.DrainGrace + socketSlackMs, FreeExtraLegs: s.Fleet.ExtraFree, ExtraLegRatio: s.Fleet.ExtraRatio, BudgetWindowMs: s.Fleet.BudgetWindow * 1000,
		MinServedShare: s.Fleet.HealthyShare}
	for _, p := range s.Products {
		terms.Products = append(terms.Products, records.Product{Name: p.Name, ExpectedMs: p.ExpectedTime, AbandonMs: p.AbandonTime,
			SingleUse: p.Effect == "single-use", Referenced: p.Effect == "referenced"})
	}
	r.book = records.New(terms)
	r.book.LinkSlackMs, r.book.Healthy = r.linkSlackMs, r.isHealthy
	go r.monitorScheduling(ctx)
	err := r.monitorSocketLag(ctx)
	if err != nil {
		return nil, r.explainLimit(err)
	}
	if r.addrs, err = claimBlock(); err != nil {
		return nil, err
	}
	defer r.addrs.listener.Close()
	r.listServer = r.newListServer()
	defer r.tearDown()
	if err := r.setUp(); err != nil {
		return nil, r.explainLimit(err)
	}
	result := &Result{Scenario: s, Book: r.book, Endpoints: len(r.endpoints)}
	startedAt := time.Now()
	if err := r.startAll(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, r.explainLimit(err)
	}
	result.StartDuration = time.Since(startedAt)
	r.resetClock()
	onEvent := r.OnEvent
	r.OnEvent = func(at float64, text string) {
		r.mu.Lock()
		result.Events = append(result.Events, Event{at, text})
		r.mu.Unlock()
		onEvent(at, text)
	}
	for n := range s.Faults {
		r.faultRuns.Go(func() { r.runFault(ctx, n) })
	}
	r.sendTraffic(ctx)
	r.faultRuns.Wait()
	for _, p := range r.processes {
		p.measureUsage()
	}
	errs := []error{r.firstErr, r.terminateAll()}
	for _, p := range r.processes {
		errs = append(errs, p.failure())
		result.Usage = append(result.Usage, p.usage)
	}
	if err := context.Cause(ctx); err != nil && r.firstErr == nil {
		errs = append(errs, err)
	}
	result.Broken = r.book.Check()
	return result, errors.Join(errs...)
}

// resetClock makes the present the start of the traffic. Endpoint models start anew, as endpoints that have been warm for
// long.
func (r *Rig) resetClock() {
	for _, e := range r.endpoints {
		e.mu.Lock()
	}
	r.trafficStart.Store(int64(time.Since(r.startedAt)))
	for n, e := range r.endpoints {
		e.model = emulator.New(r.scenario.EmulatorKind(e.Node), r.scenario.SeedOf(e.Name), -1e12, 0)
		r.book.SetInServiceFrom(n, 0)
		e.mu.Unlock()
	}
}

// setUp starts the endpoints and discovery's listeners, opens the links that faults need and creates the clients.
func (r *Rig) setUp() error {
	r.assignLinkClasses()
	for _, p := range r.scenario.EndpointNodes() {
		if _, err := r.addEndpoint(p, p.Name, false); err != nil {
			return err
		}
	}
	for n := range r.scenario.Fleet.Sidecars {
		if err := r.listServer.open(n); err != nil {
			return err
		}
		c := &client{rig: r, sidecar: n, addr: r.addrs.addr(rowSidecar, n)}
		for over, row := range map[string]int{"list": rowListLink, "clients": rowClient, "consoles": rowConsoleLink} {
			if !r.hasLinkFault(over, n) {
				continue
			}
			target := r.addrs.addr(rowList, n)
			if over == "clients" {
				target = c.addr
			} else if over == "consoles" {
				target = r.addrs.addr(rowConsole, n)
			}
			l, err := links.New(r.addrs.addr(row, n), target, r.scenario.SeedOf(fmt.Sprint(over, n)))
			if err != nil {
				return r.explainLimit(err)
			}
			switch over {
			case "clients":
				r.links.clients[n], c.addr = l, l.Addr()
			case "consoles":
				r.links.consoles[n] = l
			default:
				r.links.list[n] = l
			}
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

// assignLinkClasses puts sidecars whose links to endpoints have the same faults into one class. Sidecars of a class share
// links.
func (r *Rig) assignLinkClasses() {
	n := r.scenario.Fleet.Sidecars
	r.links.list, r.links.clients, r.links.consoles, r.links.classOf = make([]*links.Link, n), make([]*links.Link, n), make([]*links.Link, n), make([]int, n)
	r.links.upstream, r.links.classFaults = map[[2]int]*links.Link{}, [][]int{nil}
	for s := range n {
		faults := []int{}
		for f := range r.scenario.Faults {
			if sidecars, _ := r.scenario.FaultTargets(f); r.scenario.Faults[f].Link == "upstream" && containsPlace(sidecars, s) {
				faults = append(faults, f)
			}
		}
		class := slices.IndexFunc(r.links.classFaults, func(o []int) bool { return slices.Equal(o, faults) })
		if len(faults) == 0 {
			class = 0
		} else if class < 0 {
			r.links.classFaults = append(r.links.classFaults, faults)
			class = len(r.links.classFaults) - 1
		}
		r.links.classOf[s] = class
	}
}

// containsPlace reports whether a list of nodes has the one with the given number.
func containsPlace(places []scenario.Node, number int) bool {
	return slices.ContainsFunc(places, func(p scenario.Node) bool { return p.Number == number })
}

// hasLinkFault reports whether the scenario has a fault on a sidecar's link of the given kind (the fault's Link).
func (r *Rig) hasLinkFault(over string, sidecar int) bool {
	for f := range r.scenario.Faults {
		if sidecars, _ := r.scenario.FaultTargets(f); r.scenario.Faults[f].Link == over && containsPlace(sidecars, sidecar) {
			return true
		}
	}
	return false
}

// linkFaultAppliesTo reports whether the links of fault f lead to an endpoint. A fault that names endpoints does not
// apply to replacements, which are not nodes of the scenario.
func (r *Rig) linkFaultAppliesTo(f int, e *endpoint) bool {
	_, targets := r.scenario.FaultTargets(f)
	return len(r.scenario.Faults[f].RemoteEndpoints) == 0 || e.Name == r.scenario.EndpointNodes()[e.Node.Number].Name && containsPlace(targets, e.Node.Number)
}

// addEndpoint starts an endpoint with the links that its faults need, and lists it as in service. A cold endpoint starts
// its warm-up now; any other has been warm for long.
func (r *Rig) addEndpoint(p scenario.Node, name string, cold bool) (*endpoint, error) {
	e, err := r.newEndpoint(p, name, cold)
	if err != nil {
		return nil, err
	}
	started := 0.0
	if cold {
		started = float64(time.Now().UnixMilli())
	}
	for class, faults := range r.links.classFaults {
		if !slices.ContainsFunc(faults, func(f int) bool { return r.linkFaultAppliesTo(f, e) }) {
			continue
		}
		if rowFirstClass+class > maxRow {
			return nil, fmt.Errorf("links to endpoints need %d classes, more than the address block has rows for", len(r.links.classFaults))
		}
		l, err := links.New(r.addrs.addr(rowFirstClass+class, e.number), e.addr, r.scenario.SeedOf(fmt.Sprint(class, name)))
		if err != nil {
			return nil, r.explainLimit(err)
		}
		r.mu.Lock()
		r.links.upstream[[2]int{class, e.number}] = l
		r.mu.Unlock()
	}
	r.mu.Lock()
	r.endpoints = append(r.endpoints, e)
	r.current[p.Name] = e
	r.mu.Unlock()
	r.listServer.publish(listEntry{ID: name, Zone: p.Zone, Cell: 1, State: "in_service", Weight: 1, Started: started, number: e.number})
	return e, nil
}

// addrFor returns the address at which a sidecar reaches an endpoint: that of its link, or the endpoint's own if it has
// none.
func (r *Rig) addrFor(sidecar, number int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.links.upstream[[2]int{r.links.classOf[sidecar], number}]; l != nil {
		return l.Addr()
	}
	return r.addrs.addr(rowEndpoint, number)
}

// recordNotified records that discovery wrote list entries to a sidecar. During a fault on its link to discovery, the
// sidecar counts as notified only AskWithin after the end of the fault, by when it has called discovery again.
func (r *Rig) recordNotified(sidecar int, entries []listEntry) {
	at := r.now()
	for f := range r.scenario.Faults {
		fault := &r.scenario.Faults[f]
		if sidecars, _ := r.scenario.FaultTargets(f); fault.Link == "list" && containsPlace(sidecars, sidecar) && at >= fault.At*1000 && at < fault.End()*1000+faultAftermathMs {
			at = max(at, fault.End()*1000+r.scenario.Fleet.AskWithin*1000)
		}
	}
	for _, e := range entries {
		if e.State != "in_service" {
			r.book.RecordDrain(sidecar, e.number, at, "listed as "+e.State)
		}
	}
}

// linkSlackMs returns by how many ms a leg may arrive at its endpoint later than it was sent, because of faults on its
// link or a stopped process. The delay is infinite unless the fault is a delay or jitter, whose size bounds it.
func (r *Rig) linkSlackMs(sidecar, number int, at float64) (ms float64) {
	for f := range r.scenario.Faults {
		fault := &r.scenario.Faults[f]
		if fault.Link != "upstream" && fault.Kind != "stop" || at < fault.At*1000 || at > fault.End()*1000+faultAftermathMs {
			continue
		}
		if sidecars, _ := r.scenario.FaultTargets(f); !containsPlace(sidecars, sidecar) {
			continue
		}
		if fault.Kind == "delay" || fault.Kind == "jitter" {
			ms += 2 * fault.Size // the connection is established first, over the same link
		} else {
			ms = math.Inf(1)
		}
	}
	return ms
}

// startAll starts all sidecars and waits until all of them serve.
func (r *Rig) startAll(ctx context.Context) error {
	n := r.scenario.Fleet.Sidecars
	r.sidecars = make([]*process, n)
	gate, errs := make(chan bool, maxConcurrentStarts), make(chan error, n)
	for s := range n {
		go func() {
			gate <- true
			defer func() { <-gate }()
			if ctx.Err() != nil {
				errs <- ctx.Err()
				return
			}
			errs <- r.startSidecar(s, r.Program, rowConsole)
		}()
	}
	var firstErr error
	for range n {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// startSidecar starts a process for a sidecar and waits until it serves. A process that starts beside a serving one and
// has its console in a row other than rowConsole is checked at that console, since both processes share the sidecar's
// address. Any other is checked at the sidecar's address.
func (r *Rig) startSidecar(s int, program string, consoleRow int) error {
	dir := filepath.Join(r.Dir, fmt.Sprint("s", s))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	config := filepath.Join(dir, "start.json")
	if err := r.writeConfig(s, config); err != nil {
		return err
	}
	p, err := r.startProcess(program, fmt.Sprint("s", s), config, dir, r.addrs.addr(consoleRow, s))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes = append(r.processes, p)
	isUpgrade := r.sidecars[s] != nil && consoleRow != rowConsole
	r.mu.Unlock()
	url := "http://" + r.addrs.addr(rowSidecar, s) + "/up"
	if isUpgrade {
		url = "http://" + p.console + "/healthcheck"
	}
	if err := p.waitForOK(url, startTimeout); err != nil {
		return err
	}
	r.mu.Lock()
	r.sidecars[s] = p
	r.mu.Unlock()
	r.clients[s].start()
	return nil
}

// sidecar returns the serving process of a sidecar, nil while it is down.
func (r *Rig) sidecar(s int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sidecars[s]
}

// sendTraffic sends each of the scenario's requests when it is due, and waits until all have ended.
func (r *Rig) sendTraffic(ctx context.Context) {
	var pending sync.WaitGroup
	for _, a := range r.scenario.Arrivals() {
		if wait := a.At - r.now(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(wait * float64(time.Millisecond))):
			}
		}
		if ctx.Err() != nil {
			break
		}
		pending.Go(func() { r.clients[a.Sidecar].send(a) })
	}
	pending.Wait() // ends, as each request has a deadline
}

// terminateAll terminates all processes with SIGTERM, kills those that do not end, and returns an error that names them.
func (r *Rig) terminateAll() (err error) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, p := range r.processes {
		pending.Go(func() {
			p.endExpected = p.endExpected || p.waitErr == nil && !p.endsWithin(0)
			p.Process.Signal(syscall.SIGCONT)
			p.Process.Signal(syscall.SIGTERM)
			if !p.endsWithin(r.longestAbandon() + killDelay + 5*time.Second) {
				p.Process.Kill()
				mu.Lock()
				err = errors.Join(err, fmt.Errorf("%s did not end in time after SIGTERM", p.name))
				mu.Unlock()
				<-p.ended
			}
		})
	}
	pending.Wait()
	return err
}

// longestAbandon returns the longest abandon time of the scenario's products.
func (r *Rig) longestAbandon() time.Duration {
	longestMs := 0.0
	for _, p := range r.scenario.Products {
		longestMs = max(longestMs, p.AbandonTime)
	}
	return time.Duration(longestMs * float64(time.Millisecond))
}

// tearDown kills the remaining processes and closes all servers and links, however the run ended. It must not hold the
// rig's lock while it closes the servers: a server may be reporting an error at that moment (serverErrors), which takes
// the lock.
func (r *Rig) tearDown() {
	r.mu.Lock()
	processes, endpoints, upstream := slices.Clone(r.processes), slices.Clone(r.endpoints), slices.Collect(maps.Values(r.links.upstream))
	r.mu.Unlock()
	for _, p := range processes {
		if !p.endsWithin(0) {
			p.Process.Kill()
			<-p.ended
		}
	}
	for _, e := range endpoints {
		e.close()
	}
	r.listServer.httpServer.Close()
	for _, l := range slices.Concat(upstream, r.links.list, r.links.clients, r.links.consoles) {
		if l != nil {
			l.Close()
		}
	}
}
