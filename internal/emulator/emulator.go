// Package emulator is a model of an endpoint: cores of unequal speed, slots, a bounded waiting room, warm-up, pauses, errors,
// hangs, a crowded state that only idleness lifts, and the fall of a cold one that is pushed over. It has no I/O and no clock
// of its own: whoever uses it says what time it is, in milliseconds, which never goes back. Two faces use it, loopback sockets
// (internal/rig) and virtual time (internal/virtual). It knows nothing of who sends, and judges nobody.
//
// Queueing follows Kleinrock, Queueing Systems, volume 1 (1975): with one slot a core it is G/G/c with a bounded room; more
// slots than cores share the cores evenly (processor sharing).
package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Kind is what endpoints of one sort have in common. Times are in ms, work in ms of a core at speed 1.
type Kind struct {
	CoreSpeeds       []float64 // speed of each
	Slots            int       // in work at once; at least one
	QueueLimit       int       // waiting, beyond which it turns away
	ColdShare        float64   // share of its capacity at the start, above 0; 1 for always warm
	WarmUpMs         float64   // until it is warm
	PauseIntervalMs  float64   // mean between two pauses; 0 for none
	PauseMs          float64
	ErrorShare       float64 // share of exchanges that end with an error
	OverloadAt       int     // held at once, from which on it turns crowded; 0 for never
	OverloadSlowdown float64 // times slower when crowded
	RecoveryIdleMs   float64 // of holding nothing, until it is not
	CollapseRatio    float64 // work sent within FallWithin over what a cold one can do in it, above which it falls; 0 for never
	CollapseWindowMs float64
	MeanWorkMs       float64 // of a request, by which a fall's slack is counted; 0 for no slack
	DownMs           float64 // after a fall
}

// Fault is what goes wrong for a while. Several may be in force; they end in any order.
type Fault struct {
	Slowdown   float64 // times slower; 0 for not
	Hang       bool    // takes all, answers none
	ErrorShare float64 // share that fails at once
}

// Taken says what became of an exchange that arrives.
type ArrivalResult int

const (
	Accepted ArrivalResult = iota
	Full                   // the room is full: it never runs
	Failed                 // an error, at once
	Down                   // nobody is there
)

// Job is an exchange that an endpoint holds.
type Job struct {
	ID        uint64
	remaining float64 // work
	core      int     // -1 while it waits
	fails     bool
}

// Done is the end of a job.
type Done struct {
	ID uint64
	At float64
	OK bool
}

// Endpoint is one endpoint's state.
type Endpoint struct {
	Kind
	now, started   float64
	rng            *rand.Rand
	jobs           []Job // in work first, then those that wait, in order
	running        int
	jobsOnCore     []int
	faults         map[int]Fault
	overloaded     bool
	idleSince      float64
	pauseStart     float64 // begin of the next or present pause
	pauseEnd       float64
	downUntil      float64
	recentArrivals []arrival // to a cold one, within FallWithin
	Collapses      int
	WorkDoneMs     float64 // core ms of work done
	rate           float64 // capacity now over that of a warm one
	rateUntil      float64 // rate holds until then
	nextDone       float64
	nextDoneValid  bool
}

type arrival struct{ at, work float64 }

// New is an endpoint whose process started at the given time; one that started long ago is warm.
func New(k Kind, seed uint64, started, now float64) *Endpoint {
	e := &Endpoint{Kind: k, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), jobsOnCore: make([]int, len(k.CoreSpeeds)),
		faults: map[int]Fault{}, pauseStart: math.Inf(1), now: now}
	e.Restart(started)
	return e
}

// Restart drops all that is held and begins anew, cold, at the given time.
func (e *Endpoint) Restart(at float64) {
	e.dropJobs()
	e.started, e.downUntil, e.overloaded, e.idleSince, e.recentArrivals = at, at, false, at, nil
	if e.PauseIntervalMs > 0 {
		e.pauseStart = max(at, e.now) + e.rng.ExpFloat64()*e.PauseIntervalMs
	}
	e.updateRate()
}

// Stop ends the process until Restart. What it held is lost.
func (e *Endpoint) Stop() { e.dropJobs(); e.downUntil = math.Inf(1) }

func (e *Endpoint) dropJobs() {
	e.jobs, e.running, e.nextDoneValid = e.jobs[:0], 0, false
	clear(e.jobsOnCore)
}

// Set puts a fault in force under a number; Clear ends it.
func (e *Endpoint) Set(n int, f Fault) { e.faults[n] = f; e.updateRate() }
func (e *Endpoint) Clear(n int)        { delete(e.faults, n); e.updateRate() }

// Held is how many exchanges are in hand.
func (e *Endpoint) JobCount() int { return len(e.jobs) }

// Up tells whether a process is there.
func (e *Endpoint) Up() bool { return e.now >= e.downUntil }

// Warmth is the share of its capacity that an endpoint has by its age.
func (e *Endpoint) WarmUpShare() float64 {
	if e.WarmUpMs <= 0 || e.now-e.started >= e.WarmUpMs {
		return 1
	}
	return e.ColdShare + (1-e.ColdShare)*max(e.now-e.started, 0)/e.WarmUpMs
}

// Capacity is work a ms, of a warm endpoint without faults.
func (e *Endpoint) Capacity() (c float64) {
	for _, s := range e.CoreSpeeds {
		c += s
	}
	return c
}

// step works out the rate that holds from now on, and until when.
func (e *Endpoint) updateRate() {
	e.nextDoneValid = false
	e.rate, e.rateUntil = e.WarmUpShare(), math.Inf(1)
	if e.rate < 1 {
		e.rateUntil = e.now + e.WarmUpMs/64
	}
	if e.overloaded {
		e.rate /= e.OverloadSlowdown
	}
	for _, f := range e.faults {
		if f.Slowdown > 0 {
			e.rate /= f.Slowdown
		}
		if f.Hang {
			e.rate = 0
		}
	}
	if e.now >= e.pauseStart {
		if e.now < e.pauseEnd {
			e.rate = 0
		}
		e.rateUntil = min(e.rateUntil, e.pauseEnd)
	} else {
		e.rateUntil = min(e.rateUntil, e.pauseStart)
	}
}

// speed is how fast the work of a job on a core gets done.
func (e *Endpoint) jobSpeed(core int) float64 {
	return e.CoreSpeeds[core] * e.rate / float64(e.jobsOnCore[core])
}

// Next is when something happens by itself: the first end of a job, or a change of pace. Infinite for never.
func (e *Endpoint) Next() float64 {
	if len(e.jobs) == 0 {
		return math.Inf(1)
	}
	if !e.nextDoneValid {
		e.nextDone, e.nextDoneValid = math.Inf(1), true
		for n := range e.jobs[:e.running] {
			j := &e.jobs[n]
			if s := e.jobSpeed(j.core); s > 0 {
				e.nextDone = min(e.nextDone, e.now+j.remaining/s)
			}
		}
	}
	return min(e.nextDone, e.rateUntil)
}

// Advance moves on to now and reports each job that ends on the way, in order.
func (e *Endpoint) Advance(now float64, onDone func(Done)) {
	for e.now < now {
		if len(e.jobs) == 0 { // nothing can end: only the pace at now matters
			e.now = now
			e.passRateChange()
			return
		}
		until := min(e.Next(), now)
		ended := until == e.nextDone
		for n := range e.jobs[:e.running] {
			j := &e.jobs[n]
			workDone := e.jobSpeed(j.core) * (until - e.now)
			j.remaining -= workDone
			e.WorkDoneMs += workDone
		}
		e.now = until
		if ended {
			e.finishJobs(onDone)
		}
		if e.now >= e.rateUntil {
			e.passRateChange()
		}
	}
}

// turn passes a change of pace.
func (e *Endpoint) passRateChange() {
	for e.now >= e.pauseStart {
		if e.pauseEnd < e.pauseStart {
			e.pauseEnd = e.pauseStart + e.PauseMs
		}
		if e.now < e.pauseEnd {
			break
		}
		e.pauseStart = e.pauseEnd + e.rng.ExpFloat64()*e.PauseIntervalMs
	}
	e.updateRate()
}

const workEpsilonMs = 1e-9 // work that is left by rounding

func (e *Endpoint) finishJobs(onDone func(Done)) {
	for n := 0; n < e.running; n++ {
		j := e.jobs[n]
		if j.remaining > workEpsilonMs {
			continue
		}
		e.removeJob(n)
		n--
		onDone(Done{ID: j.ID, At: e.now, OK: !j.fails})
	}
	e.startWaiting()
}

// take removes a job.
func (e *Endpoint) removeJob(n int) {
	if j := e.jobs[n]; j.core >= 0 {
		e.jobsOnCore[j.core]--
		e.running--
	}
	e.jobs = slices.Delete(e.jobs, n, n+1)
	if len(e.jobs) == 0 {
		e.idleSince = e.now
	}
	e.nextDoneValid = false
}

// fill starts what waits where a slot is free, on the core that is fastest for it.
func (e *Endpoint) startWaiting() {
	for e.running < min(e.Slots, len(e.jobs)) {
		best := 0
		for c := range e.CoreSpeeds {
			if e.CoreSpeeds[c]*float64(e.jobsOnCore[best]+1) > e.CoreSpeeds[best]*float64(e.jobsOnCore[c]+1) {
				best = c
			}
		}
		e.jobs[e.running].core = best
		e.jobsOnCore[best]++
		e.running++
	}
	e.nextDoneValid = false
}

// Arrive hands in an exchange of so much work. The clock must have been advanced to now before.
func (e *Endpoint) Arrive(id uint64, work float64) ArrivalResult {
	if !e.Up() {
		return Down
	}
	if e.collapses(work) {
		e.Collapses++
		e.dropJobs()
		e.started, e.downUntil = e.now+e.DownMs, e.now+e.DownMs
		return Down
	}
	errorShare, hangs := e.ErrorShare, false
	for _, f := range e.faults {
		if f.ErrorShare > 0 && e.rng.Float64() < f.ErrorShare {
			return Failed
		}
		hangs = hangs || f.Hang
	}
	if e.overloaded && len(e.jobs) == 0 && e.now-e.idleSince >= e.RecoveryIdleMs {
		e.overloaded = false
		e.updateRate()
	}
	if len(e.jobs) >= e.Slots+e.QueueLimit && !hangs {
		return Full
	}
	e.jobs = append(e.jobs, Job{ID: id, remaining: max(work, workEpsilonMs*2), core: -1, fails: errorShare > 0 && e.rng.Float64() < errorShare})
	if e.OverloadAt > 0 && len(e.jobs) >= e.OverloadAt && !e.overloaded {
		e.overloaded = true
		e.updateRate()
	}
	e.startWaiting()
	return Accepted
}

// overturned tells whether this work pushes a cold endpoint over.
func (e *Endpoint) collapses(work float64) bool {
	if e.CollapseRatio <= 0 || e.WarmUpShare() >= 1 {
		return false
	}
	e.recentArrivals = slices.DeleteFunc(e.recentArrivals, func(s arrival) bool { return s.at <= e.now-e.CollapseWindowMs })
	e.recentArrivals = append(e.recentArrivals, arrival{e.now, work})
	sum := 0.0
	for _, s := range e.recentArrivals {
		sum += s.work
	}
	allowed := e.CollapseRatio * e.WarmUpShare() * e.Capacity() * e.CollapseWindowMs
	if e.MeanWorkMs > 0 {
		allowed += e.MeanWorkMs * collapseSlack(allowed/e.MeanWorkMs)
	}
	return sum > allowed
}

// fallSlack is by how many requests of mean work a cold endpoint may get more than the n that it can take: chance brings a few
// together, and the more so the fewer they are (the operators' term: 2 roots and 2, under 30 requests 3 roots and 3).
func collapseSlack(n float64) float64 {
	const few = 30
	if n < few {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// Cancel lets go of a job, whether it waits or runs; an unknown one is no fault.
func (e *Endpoint) Cancel(id uint64) {
	if n := slices.IndexFunc(e.jobs, func(j Job) bool { return j.ID == id }); n >= 0 {
		e.removeJob(n)
		e.startWaiting()
	}
}
