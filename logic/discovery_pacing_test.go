package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// answerFault is what is wrong with an answer of discovery.
type answerFault int

const (
	refusedAnswer    answerFault = iota // refused at once
	brokenAnswer                        // the connection ends at once
	lateBrokenAnswer                    // the connection ends when the call has been served
	missingAnswer                       // the call is served but never answered
	partialAnswer                       // a head or half a list when served, then silence; the sidecar gives up after partialAnswerTimeout
	mixedFaults                         // a random one of the above for each answer
	answerFaults
)

func (f answerFault) String() string {
	return [answerFaults]string{"refused", "broken", "late-break", "silent", "half", "mixed"}[f]
}

// pacingEvent is the event after which a list has to be received.
type pacingEvent int

const (
	watchEnds pacingEvent = iota
	shortOutageEnds
	longOutageEnds
	newConfiguration
	configurationSeries // four new configurations within configurationSeriesSpan; the bound runs from the last
	pacingEvents
)

func (e pacingEvent) String() string {
	return [pacingEvents]string{"end", "back4", "back10", "moved", "series"}[e]
}

const (
	shortOutage Millis = 4000
	longOutage  Millis = 10000
	// boundSlack is the time that the rules allow beyond a bound: the grace period and the tolerance for sockets.
	boundSlack              Millis = 500
	partialAnswerTimeout    Millis = 500
	refusalDelay            Millis = 2
	breakDelay              Millis = 3
	cheapCallWork           Millis = 3 // work of a call to a discovery service that is not overloaded
	observationTime         Millis = 20000
	moveSpread              Millis = 1000 // time over which the new configuration reaches the processes
	endSpread               Millis = 50   // time over which the watches of the processes end
	configurationSeriesSpan Millis = 1600
	// minProcessesPerCell is the least number of processes whose calls make up the result of a cell.
	minProcessesPerCell = 30
)

// pacingCell is one combination of conditions under which the pacing of calls is simulated.
type pacingCell struct {
	policy        queuePolicy
	subscription  bool // a refusal ends all open calls of its process, whatever the queue policy
	cheapBefore   bool // a call cost cheapCallWork before the event
	callers       int
	round         Millis // work of one call of each process
	event         pacingEvent
	fault         answerFault
	faultyAnswers int // number of consecutive faulty answers that each process gets after the event
}

func (c pacingCell) String() string {
	return fmt.Sprintf("%d,%v,%v,%d,%v,%v,%v,%d", c.policy, c.subscription, c.cheapBefore, c.callers, c.round, c.event, c.fault, c.faultyAnswers)
}

// bound returns the time after the event within which a list has to be received.
func (c pacingCell) bound() Millis {
	switch {
	case c.event == newConfiguration || c.event == configurationSeries:
		return 4000 + boundSlack
	case c.event == watchEnds && c.faultyAnswers <= 1:
		return 2000 + boundSlack
	}
	return 6000 + boundSlack
}

// pacedDiscovery simulates a discovery service that serves its calls in order, including abandoned ones.
type pacedDiscovery struct {
	eventQueue
	pacingCell
	rng       *rand.Rand
	work      Millis // work of one call
	down      bool
	busy      bool
	waiting   []*pacedCall
	processes []*pacedProcess
}

// pacedCall is a call to a pacedDiscovery.
type pacedCall struct {
	process   *pacedProcess
	arrivedAt Millis
	fault     answerFault // answerFaults for none
	ended     bool        // its process no longer waits for the answer
	dropped   bool        // removed from the queue without costing work
}

// pacedProcess is one of the callers of a pacedDiscovery.
type pacedProcess struct {
	Outgoing
	d                *pacedDiscovery
	b                *Balancer
	open             []*pacedCall
	faultsLeft       int // number of next answers that are faulty
	calls            int
	callsWhileDown   int // calls made while discovery was down
	received         bool
	receivedAt       Millis
	eventAt          Millis   // when the event happened
	lags             []Millis // time from the end of a watch to the next list, one for each list
	pendingDeadlines []Millis // times by which changes that are not received yet have to be received
	lateChanges      int      // changes that were received after their deadline
}

func newPacedDiscovery(cell pacingCell, seed uint64) *pacedDiscovery {
	d := &pacedDiscovery{eventQueue: eventQueue{now: 1000}, pacingCell: cell, rng: rand.New(rand.NewPCG(seed, 61)),
		work: cell.round / Millis(cell.callers)}
	before := d.work
	if cell.cheapBefore {
		before = cheapCallWork
	}
	for range cell.callers {
		p := &pacedProcess{Outgoing: discardOutgoing{}, d: d, received: true}
		p.b = New(Terms{Seed: d.rng.Uint64(), Fleet: cell.callers, PullList: true, HasList: true, AskWithin: 10000, MaxListWait: 1200,
			Notified: NotificationBounds{Reached: 6000, Moved: 4000, Ended: 2000}}, p, d.now)
		p.b.ListEnds(false) // one list when the whole fleet started, one without load
		p.b.ListReceived(before * Millis(1+d.rng.IntN(cell.callers)))
		p.b.ListReceived(before)
		d.processes = append(d.processes, p)
	}
	d.runUntil(d.now + 20000)
	return d
}

func (p *pacedProcess) SetTimer(after Millis, t TimerID) {
	if t == 1 {
		p.d.schedule(after, func() { p.b.SetNow(p.d.now); p.b.TimerFired(1) })
	}
}

// Watch makes a call as the sidecar does: at MaxOpenCalls the newest open call is replaced.
func (p *pacedProcess) Watch() {
	d := p.d
	if p.received {
		return
	}
	if len(p.open) >= MaxOpenCalls {
		p.closeCall(p.open[len(p.open)-1])
	}
	p.calls++
	c := &pacedCall{process: p, arrivedAt: d.now, fault: answerFaults}
	p.open = append(p.open, c)
	switch overloaded := d.policy == refuseImmediately && Millis(len(d.waiting))*d.work > queueWaitLimit; {
	case d.down:
		d.schedule(refusalDelay, func() { d.refuse(c, d.subscription) })
		return
	case overloaded:
		d.schedule(refusalDelay, func() { d.refuse(c, true) })
		return
	case p.faultsLeft > 0:
		p.faultsLeft--
		if c.fault = d.fault; c.fault == mixedFaults {
			c.fault = answerFault(d.rng.IntN(int(mixedFaults)))
		}
	}
	switch c.fault {
	case refusedAnswer:
		d.schedule(refusalDelay, func() { d.refuse(c, d.subscription) })
	case brokenAnswer:
		d.schedule(breakDelay, func() { d.fail(c) })
	default:
		d.enqueue(c)
	}
}

func (d *pacedDiscovery) enqueue(c *pacedCall) {
	d.waiting = append(d.waiting, c)
	d.schedule(AnswerTimeout, func() { d.fail(c) })
	if d.policy == dropAfterWait {
		d.schedule(queueWaitLimit, func() {
			if at := slices.Index(d.waiting, c); at > 0 || at == 0 && !d.busy {
				c.dropped = true
				d.refuse(c, d.subscription)
			}
		})
	}
	if !d.busy {
		d.serve()
	}
}

// closeCall removes a call from the open ones. It returns false if the call has already ended.
func (p *pacedProcess) closeCall(c *pacedCall) bool {
	if c.ended {
		return false
	}
	c.ended = true
	p.open = slices.DeleteFunc(p.open, func(o *pacedCall) bool { return o == c })
	return true
}

func (d *pacedDiscovery) fail(c *pacedCall) {
	if c.process.closeCall(c) {
		c.process.b.SetNow(d.now)
		c.process.b.ListCallFailed()
	}
}

func (d *pacedDiscovery) refuse(c *pacedCall, all bool) {
	calls := []*pacedCall{c}
	if all {
		calls = append(calls, c.process.open...)
	}
	for _, c := range calls {
		if c.process.closeCall(c) {
			c.process.b.SetNow(d.now)
			c.process.b.ListCallRefused(d.now-c.arrivedAt, false)
		}
	}
}

func (d *pacedDiscovery) serve() {
	d.busy = false
	for len(d.waiting) > 0 && d.waiting[0].dropped {
		d.waiting = d.waiting[1:]
	}
	if len(d.waiting) == 0 || d.down {
		return
	}
	c := d.waiting[0]
	d.busy = true
	d.schedule(d.work, func() {
		if len(d.waiting) > 0 && d.waiting[0] == c {
			d.waiting = d.waiting[1:]
			d.answer(c)
		}
		d.serve()
	})
}

func (d *pacedDiscovery) answer(c *pacedCall) {
	p := c.process
	switch {
	case c.ended || c.fault == missingAnswer:
		return
	case c.fault == lateBrokenAnswer:
		d.fail(c)
		return
	case c.fault == partialAnswer:
		d.schedule(partialAnswerTimeout, func() { d.fail(c) })
		return
	}
	p.received, p.receivedAt = true, d.now
	for _, other := range slices.Clone(p.open) {
		p.closeCall(other)
	}
	for _, bound := range p.pendingDeadlines {
		if d.now > bound {
			p.lateChanges++
		}
	}
	p.pendingDeadlines, p.lags = p.pendingDeadlines[:0], append(p.lags, d.now-p.eventAt)
	p.b.SetNow(d.now)
	p.b.ListEnds(false)
	p.b.ListReceived(d.now - c.arrivedAt)
}

// endWatch ends the watch of a process.
func (p *pacedProcess) endWatch() {
	p.received, p.eventAt, p.faultsLeft = false, p.d.now, p.d.faultyAnswers
	p.b.SetNow(p.d.now)
	p.b.WatchEnded(0, false)
}

func (p *pacedProcess) moveDiscovery() {
	p.received, p.eventAt, p.faultsLeft = false, p.d.now, p.d.faultyAnswers
	for len(p.open) > 0 {
		p.closeCall(p.open[0]) // a list of the previous discovery would not end the calls
	}
	p.b.SetNow(p.d.now)
	p.b.DiscoveryMoved()
}

// simulateEvent issues the event of the cell and runs the simulation for observationTime after it.
func (d *pacedDiscovery) simulateEvent() {
	outage := Millis(0)
	switch d.event {
	case shortOutageEnds:
		outage = shortOutage
	case longOutageEnds:
		outage = longOutage
	}
	d.down = outage > 0
	for _, p := range d.processes {
		switch first := moveSpread * Millis(d.rng.Float64()); d.event {
		case configurationSeries:
			for _, part := range []Millis{0, 0.2, 0.45, 1} {
				d.schedule(first+part*configurationSeriesSpan, p.moveDiscovery)
			}
			continue
		case newConfiguration:
			d.schedule(first, p.moveDiscovery)
			continue
		}
		d.schedule(endSpread*Millis(d.rng.Float64()), p.endWatch)
	}
	if outage > 0 {
		d.runUntil(d.now + outage)
		d.down = false
		for _, p := range d.processes {
			p.callsWhileDown, p.eventAt, p.calls, p.faultsLeft = p.calls, d.now, 0, d.faultyAnswers
		}
	}
	d.runUntil(d.now + observationTime)
}

// pacingResult counts the processes of some cells, their late and missing lists and their calls.
type pacingResult struct{ processes, late, never, calls, callsWhileDown int }

func (r *pacingResult) add(o pacingResult) {
	r.processes, r.late, r.never, r.calls = r.processes+o.processes, r.late+o.late, r.never+o.never, r.calls+o.calls
	r.callsWhileDown += o.callsWhileDown
}

func (r pacingResult) String() string {
	n := float64(r.processes)
	return fmt.Sprintf("%.2f,%.2f,%.2f,%.2f", 100*float64(r.late)/n, 100*float64(r.never)/n, float64(r.calls)/n, float64(r.callsWhileDown)/n)
}

func simulateCell(cell pacingCell, seed uint64) (r pacingResult) {
	for r.processes < minProcessesPerCell {
		d := newPacedDiscovery(cell, seed<<32+uint64(r.processes))
		d.simulateEvent()
		for _, p := range d.processes {
			r.processes++
			r.calls, r.callsWhileDown = r.calls+p.calls, r.callsWhileDown+p.callsWhileDown
			if !p.received {
				r.never++
			}
			if !p.received || p.receivedAt-p.eventAt > cell.bound() {
				r.late++
			}
		}
	}
	return r
}

// pacingWorkers is how many cells are simulated at the same time.
const pacingWorkers = 2

// forEachCell simulates the cells and passes their results on in the order of the cells.
func forEachCell[Cell, Result any](cells []Cell, simulate func(Cell) Result, each func(Cell, Result)) {
	results := make([]Result, len(cells))
	var workers sync.WaitGroup
	for first := range pacingWorkers {
		workers.Go(func() {
			for n := first; n < len(cells); n += pacingWorkers {
				results[n] = simulate(cells[n])
			}
		})
	}
	workers.Wait()
	for n, cell := range cells {
		each(cell, results[n])
	}
}

var (
	pacingCallers       = []int{1, 5, 12, 40, 100}
	pacingFaultyAnswers = []int{0, 1, 3, 4, 6, 8} // consecutive faulty answers
	pacingRounds        = []Millis{0, 500, 1500, 2400, 3000, 4800, 5800}
)

// pacingCells returns the cells of one group: all combinations of callers, work of a round, fault and number of faulty answers,
// with the group's other conditions.
func pacingCells(group pacingCell) (cells []pacingCell) {
	for _, group.callers = range pacingCallers {
		for _, group.round = range pacingRounds {
			for group.fault = range answerFaults {
				for _, group.faultyAnswers = range pacingFaultyAnswers {
					if group.faultyAnswers > 0 || group.fault == 0 {
						cells = append(cells, group)
					}
				}
			}
		}
	}
	return cells
}

// BenchmarkPacingOfCalls evaluates when discovery is called, in a model of one discovery service and the processes that call it. A
// cell of the model is a combination of the event that requires a list, the queue policy, how refusals and earlier latencies behave,
// the number of callers, the work of a round, and the faulty answers.
//
// It reports the share of processes that receive their list later than pacingCell.bound, or never, and the calls that each makes:
// one line for each group of cells, with a share for each number of faulty answers. With -v there is also a line for each cell
// (queue policy, subscription, cheap before, callers, work of a round, event, fault, faulty answers; late and never in per cent,
// calls, calls while discovery was down).
func BenchmarkPacingOfCalls(b *testing.B) {
	for event := range pacingEvents {
		for policy := range queuePolicies {
			for _, subscription := range []bool{false, true} {
				for _, cheapBefore := range []bool{false, true} {
					group := pacingCell{policy: policy, subscription: subscription, cheapBefore: cheapBefore, event: event}
					name := fmt.Sprintf("%v/%v/subscription=%v/cheapBefore=%v", event, policy, subscription, cheapBefore)
					b.Run(name, func(b *testing.B) {
						for b.Loop() {
							group.report(b)
						}
					})
				}
			}
		}
	}
}

func (c pacingCell) report(b *testing.B) {
	var all pacingResult
	byFaults := map[int]pacingResult{}
	forEachCell(pacingCells(c), func(cell pacingCell) pacingResult { return simulateCell(cell, 1) }, func(cell pacingCell, r pacingResult) {
		all.add(r)
		sum := byFaults[cell.faultyAnswers]
		sum.add(r)
		byFaults[cell.faultyAnswers] = sum
		if testing.Verbose() {
			b.Logf("cell,%v,%v", cell, r)
		}
	})
	for faultyAnswers, r := range byFaults {
		b.ReportMetric(100*float64(r.late)/float64(r.processes), fmt.Sprintf("late-%%-at-%d-faults", faultyAnswers))
	}
	b.ReportMetric(100*float64(all.late)/float64(all.processes), "late-%")
	b.ReportMetric(100*float64(all.never)/float64(all.processes), "never-%")
	b.ReportMetric(float64(all.calls)/float64(all.processes), "calls/process")
	b.ReportMetric(float64(all.callsWhileDown)/float64(all.processes), "calls-while-down/process")
}

// replacementCell describes a fleet whose watches end at each change instead of delivering it, while one endpoint after another is
// replaced.
type replacementCell struct {
	policy        queuePolicy
	subscription  bool
	work          Millis // work of one call
	endWithin     Millis // longest time from a change to the end of the watches
	faultyAnswers int    // broken answers after each watch
}

const (
	replacements              = 20
	replacementSpacing Millis = 1000
	replacementCallers        = 40
)

// replacementResult counts the changes in a replacementCell, the late ones and the calls.
type replacementResult struct {
	changes, late, calls int
	lags                 []Millis // time from the end of a watch to the next list, sorted
}

func (r replacementResult) quantile(q float64) Millis {
	return r.lags[int(math.Ceil(q*float64(len(r.lags))))-1]
}

func simulateReplacements(cell replacementCell, seeds int) (r replacementResult) {
	for seed := range uint64(seeds) {
		d := newPacedDiscovery(pacingCell{policy: cell.policy, subscription: cell.subscription, callers: replacementCallers,
			round: cell.work * replacementCallers, fault: brokenAnswer, faultyAnswers: cell.faultyAnswers}, seed+1000)
		for n := range replacements {
			d.schedule(replacementSpacing*(Millis(n)+Millis(d.rng.Float64())/2), func() { d.replaceEndpoint(cell.endWithin) })
		}
		d.runUntil(d.now + replacements*replacementSpacing + observationTime)
		for _, p := range d.processes {
			r.changes += replacements
			r.late += p.lateChanges + len(p.pendingDeadlines)
			r.calls += p.calls
			r.lags = append(r.lags, p.lags...)
		}
	}
	slices.Sort(r.lags)
	return r
}

// replaceEndpoint makes a change. Each open watch ends within endWithin of it. The change counts as notified 6 s after it, or 2 s
// after the end of the watch if that is earlier.
func (d *pacedDiscovery) replaceEndpoint(endWithin Millis) {
	changed := d.now
	for _, p := range d.processes {
		if !p.received {
			p.pendingDeadlines = append(p.pendingDeadlines, changed+6000+boundSlack)
			continue
		}
		receivedAt := p.receivedAt
		endsAfter := endWithin * Millis(d.rng.Float64())
		d.schedule(endsAfter, func() {
			switch {
			case p.received && p.receivedAt == receivedAt:
				p.endWatch()
				p.pendingDeadlines = append(p.pendingDeadlines, min(changed+6000, d.now+2000)+boundSlack)
			case !p.received: // the watch has ended because of another change
				p.pendingDeadlines = append(p.pendingDeadlines, min(changed+6000, p.eventAt+2000)+boundSlack)
			}
		})
	}
}

// BenchmarkChangesThatEndWatches simulates the conditions of issue 61. It reports the share of changes that are received late, the
// calls per list, and the time from the end of a watch to the next list.
func BenchmarkChangesThatEndWatches(b *testing.B) {
	for policy := range queuePolicies {
		for _, subscription := range []bool{false, true} {
			for _, work := range []Millis{30, 50, 60, 70, 100} {
				for _, endWithin := range []Millis{0, 500, 2500} {
					for _, faultyAnswers := range []int{0, 1} {
						cell := replacementCell{policy, subscription, work, endWithin, faultyAnswers}
						b.Run(fmt.Sprintf("%v/subscription=%v/work=%v/endWithin=%v/faults=%d", policy, subscription, work, endWithin, faultyAnswers), func(b *testing.B) {
							for b.Loop() {
								r := simulateReplacements(cell, 10)
								b.ReportMetric(100*float64(r.late)/float64(r.changes), "late-%")
								b.ReportMetric(float64(r.calls)/float64(len(r.lags)), "calls/list")
								b.ReportMetric(float64(r.quantile(0.5)), "median-ms")
								b.ReportMetric(float64(r.quantile(0.99)), "p99-ms")
								b.ReportMetric(float64(r.quantile(1)), "last-ms")
							}
						})
					}
				}
			}
		}
	}
}

// If the work of a round leaves spare capacity, a change that ends all watches is received before it counts as notified: 6 s after
// the change, or 2 s after the end of the watch if that is earlier, plus boundSlack.
func TestChangesThatEndWatchesAreReceivedInTime(t *testing.T) {
	for policy := range queuePolicies {
		for _, subscription := range []bool{false, true} {
			for _, endWithin := range []Millis{0, 2500} {
				cell := replacementCell{policy: policy, subscription: subscription, work: 30, endWithin: endWithin}
				r := simulateReplacements(cell, 3)
				assert.Zero(t, r.late, "%+v: of %d changes, last after %v", cell, r.changes, r.quantile(1))
			}
		}
	}
}
