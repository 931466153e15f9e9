// Package rig plays a scenario with real processes of the program on loopback: it starts them, asks them through their clients,
// puts faults between them and ends them. What happened is judged from its own accounts (internal/records), never from the
// program's counters. It runs nothing but the program that it is given.
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
	startTimeout        = 60 * time.Second       // for a process to say yes, beside hundreds of others
	answerGraceMs       = 550.0                  // ms past the abandon time in which an answer is no loss
	answerTimeoutMs     = answerGraceMs + 1500   // ms past the abandon time that a client waits
	socketSlackMs       = 50.0                   // ms that a limit is longer on sockets
	killDelay           = 700 * time.Millisecond // past the longest abandon time, from SIGTERM to SIGKILL
	newConnectionPeriod = 300 * time.Millisecond // after SIGTERM; those that are connected go on until the end
	drainPeriod         = 5 * time.Second        // from a drain until the endpoint is gone
	removedServingMs    = 10000.0                // ms that one which is gone still answers: whoever sends to it is to be seen
	maxConcurrentStarts = 16                     // processes started at once
	faultAftermathMs    = 1000.0                 // ms after a fault in which what it held up still arrives
)

// complaints are what net/http says of its listeners. All but one of them are the faults that are being played.
type serverErrors struct{ rig *Rig }

func (c serverErrors) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte(syscall.EMFILE.Error())) {
		c.rig.fail(c.rig.explainLimit(syscall.EMFILE))
	}
	return len(text), nil
}

func (r *Rig) serverLog() *log.Logger { return log.New(serverErrors{r}, "", 0) }

// Rig is one rehearsal.
type Rig struct {
	Program        string   // the program's file
	UpgradeProgram string   // the one that an upgrade starts; Program if empty
	Dir            string   // for start files, logs and the sidecars' folders
	Env            []string // more, for the program
	OnEvent        func(at float64, text string)

	scenario     *scenario.Scenario
	book         *records.Book
	addrs        *addrBlock
	startedAt    time.Time
	trafficStart atomic.Int64 // ns from began to the first arrivals
	listServer   *listServer
	links        struct {
		list, clients, consoles []*links.Link // by sidecar; nil for none
		classOf                 []int         // of each sidecar; 0 has no link upstream
		classFaults             [][]int       // of each class
		upstream                map[[2]int]*links.Link
	}

	mu         sync.Mutex
	endpoints  []*endpoint
	current    map[string]*endpoint // by the place's name
	sidecars   []*process           // nil while it is down
	processes  []*process
	clients    []*client
	lastKillMs map[int]float64 // when one of a sidecar's two processes was killed last
	firstErr   error
	cancel     context.CancelCauseFunc
	faultRuns  sync.WaitGroup
}

// Result is what a rehearsal showed.
type Result struct {
	Scenario      *scenario.Scenario
	Book          *records.Book
	Broken        []records.Violation
	Usage         []Usage
	Events        []Event
	Endpoints     int // at the start; later ones replaced some of these
	StartDuration time.Duration
}

// Event is something that was done, for the report.
type Event struct {
	At   float64
	Text string
}

// now is ms since the arrivals began.
func (r *Rig) now() float64 {
	return float64(int64(time.Since(r.startedAt))-r.trafficStart.Load()) / float64(time.Millisecond)
}

// plain says in words what ran out.
func (r *Rig) explainLimit(err error) error {
	var openFiles syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_NOFILE, &openFiles)
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return fmt.Errorf("the rehearsal's own descriptors ran out (the limit is %d): use fewer sidecars or endpoints, or raise ulimit -n: %w", openFiles.Cur, err)
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return fmt.Errorf("no port is left for new connections on loopback: use fewer sidecars or less traffic: %w", err)
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.ENOMEM):
		return fmt.Errorf("the machine carries no more processes: use fewer sidecars: %w", err)
	}
	return err
}

// fail ends the rehearsal.
func (r *Rig) fail(err error) {
	r.mu.Lock()
	if r.firstErr == nil {
		r.firstErr = err
	}
	r.mu.Unlock()
	r.cancel(err)
}

// later does something after a while, unless the rehearsal ends before.
func (r *Rig) afterFunc(wait time.Duration, do func()) { time.AfterFunc(wait, do) }

// Run plays the scenario. An error says that it could not be played, or that a process failed; broken rules are in the result.
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

// restartClock makes now the start of the arrivals.
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

// build opens all that stands round the sidecars.
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

// classify puts sidecars whose links upstream have the same faults in one class: they share the links.
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

func containsPlace(places []scenario.Node, number int) bool {
	return slices.ContainsFunc(places, func(p scenario.Node) bool { return p.Number == number })
}

// named tells whether a fault of such links names a sidecar.
func (r *Rig) hasLinkFault(over string, sidecar int) bool {
	for f := range r.scenario.Faults {
		if sidecars, _ := r.scenario.FaultTargets(f); r.scenario.Faults[f].Link == over && containsPlace(sidecars, sidecar) {
			return true
		}
	}
	return false
}

// hits tells whether a fault's links lead to an endpoint. One that replaced another has no number of the scenario's.
func (r *Rig) linkFaultAppliesTo(f int, e *endpoint) bool {
	_, targets := r.scenario.FaultTargets(f)
	return len(r.scenario.Faults[f].RemoteEndpoints) == 0 || e.Name == r.scenario.EndpointNodes()[e.Node.Number].Name && containsPlace(targets, e.Node.Number)
}

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
			return nil, fmt.Errorf("links upstream fall into %d classes, more than there are addresses for", len(r.links.classFaults))
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

// addrFor is where a sidecar finds an endpoint.
func (r *Rig) addrFor(sidecar, number int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.links.upstream[[2]int{r.links.classOf[sidecar], number}]; l != nil {
		return l.Addr()
	}
	return r.addrs.addr(rowEndpoint, number)
}

// told enters what the list service wrote to a sidecar. A list on a link that is out is told when that is over.
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

// slack is by how much a leg may have come later than it was sent, for what was done to its link.
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
			ms += 2 * fault.Size // a connection comes up before
		} else {
			ms = math.Inf(1)
		}
	}
	return ms
}

// startAll starts every sidecar and waits until all serve.
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

// startSidecar starts a process for a sidecar and waits until it serves.
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

func (r *Rig) sidecar(s int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sidecars[s]
}

// traffic asks for all exchanges when they are due, and waits for the last one's end.
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
	pending.Wait() // each has a deadline
}

// endAll ends every process in order and says which would not.
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
				err = errors.Join(err, fmt.Errorf("%s did not end after SIGTERM", p.name))
				mu.Unlock()
				<-p.ended
			}
		})
	}
	pending.Wait()
	return err
}

func (r *Rig) longestAbandon() time.Duration {
	longestMs := 0.0
	for _, p := range r.scenario.Products {
		longestMs = max(longestMs, p.AbandonTime)
	}
	return time.Duration(longestMs * float64(time.Millisecond))
}

// end takes down what is left, whatever happened. It waits for servers that may be telling of a fault just then, and so holds no lock.
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
