// Package emulator models an endpoint: cores of unequal speed, concurrency slots, a bounded queue, warm-up, pauses,
// errors, hangs, an overloaded state that ends only after an idle period, and the collapse of a cold endpoint that gets
// too much work. The model has no I/O and no clock: its caller passes the time, in milliseconds, which must not go
// backwards. It is used with loopback sockets (internal/rig) and in virtual time (internal/virtual). It does not know the
// senders and checks no rules.
//
// Queueing follows Kleinrock, Queueing Systems, volume 1 (1975): with one slot per core the model is a G/G/c queue of
// bounded length; more slots than cores share the cores evenly (processor sharing).
package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Kind holds the parameters that endpoints of one kind share. Times are in ms, work in ms of a core with speed 1.
type Kind struct {
	CoreSpeeds       []float64 // by core; 1 is the speed in which work is measured
	Slots            int       // jobs that run at the same time; at least one
	QueueLimit       int       // waiting jobs, beyond which arrivals are refused
	ColdShare        float64   // share of the full capacity at the start of the process, above 0; 1 for always warm
	WarmUpMs         float64   // from the start of the process to full capacity
	PauseIntervalMs  float64   // mean time between two pauses; 0 for none
	PauseMs          float64   // length of a pause, in which no work is done
	ErrorShare       float64   // share of jobs that end with an error
	OverloadAt       int       // jobs held at the same time, from which on the endpoint is overloaded; 0 for never
	OverloadSlowdown float64   // factor by which an overloaded endpoint is slower
	RecoveryIdleMs   float64   // time without jobs after which an overloaded endpoint recovers
	// CollapseRatio is the work sent to a cold endpoint within CollapseWindowMs, relative to its capacity in that time,
	// above which it collapses; 0 for never.
	CollapseRatio    float64
	CollapseWindowMs float64 // length of the window, which ends with the present arrival
	// MeanWorkMs is the mean work of a request, by which the slack before a collapse is computed (collapseSlack); 0 for
	// no slack.
	MeanWorkMs float64
	DownMs     float64 // time that an endpoint is down after a collapse
}

// Fault is a temporary fault of an endpoint. Several may be in force; they end in any order.
type Fault struct {
	Slowdown   float64 // factor by which the endpoint is slower; 0 for none
	Hang       bool    // accepts all jobs and does no work
	ErrorShare float64 // share of arrivals that fail at once
}

// ArrivalResult is the outcome of a job's arrival.
type ArrivalResult int

const (
	Accepted ArrivalResult = iota
	Full                   // refused, as slots and queue are full; the job never runs
	Failed                 // failed at once by a fault
	Down                   // the endpoint's process is not running
)

// Job is a leg that an endpoint holds, running or waiting.
type Job struct {
	ID        uint64
	remaining float64 // work left
	core      int     // number of the core that it runs on; -1 while it waits
	fails     bool    // it ends with an error
}

// Done is the end of a job.
type Done struct {
	ID uint64
	At float64 // time in ms
	OK bool    // false if it ended with an error
}

// Endpoint is the model of one endpoint with its state.
type Endpoint struct {
	Kind
	now            float64
	started        float64 // when the process started and began to warm up; in the future while down after a collapse
	rng            *rand.Rand
	jobs           []Job         // the running ones first, then the waiting ones in order of arrival
	running        int           // number of running jobs
	jobsOnCore     []int         // number of running jobs on each core
	faults         map[int]Fault // in force, by number
	overloaded     bool
	idleSince      float64   // when the last job ended; valid while there are no jobs
	pauseStart     float64   // start of the present pause, or of the next one
	pauseEnd       float64   // end of the present or last pause
	downUntil      float64   // infinite after Stop
	recentArrivals []arrival // while it is cold, within CollapseWindowMs
	Collapses      int       // number so far
	WorkDoneMs     float64   // work done on all cores so far
	rate           float64   // present capacity, relative to that of a warm endpoint without faults
	rateUntil      float64   // until when rate is valid
	nextDone       float64   // when the next job ends, if nextDoneValid
	nextDoneValid  bool
}

// arrival is a job that was sent to a cold endpoint.
type arrival struct{ at, work float64 }

// New creates an endpoint whose process started at the given time, which may be in the past: one that started long ago is
// warm.
func New(k Kind, seed uint64, started, now float64) *Endpoint {
	e := &Endpoint{Kind: k, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), jobsOnCore: make([]int, len(k.CoreSpeeds)),
		faults: map[int]Fault{}, pauseStart: math.Inf(1), now: now}
	e.Restart(started)
	return e
}

// Restart drops all jobs and starts the process again, cold, at the given time.
func (e *Endpoint) Restart(at float64) {
	e.dropJobs()
	e.started, e.downUntil, e.overloaded, e.idleSince, e.recentArrivals = at, at, false, at, nil
	if e.PauseIntervalMs > 0 {
		e.pauseStart = max(at, e.now) + e.rng.ExpFloat64()*e.PauseIntervalMs
	}
	e.updateRate()
}

// Stop ends the process until Restart. All jobs are dropped.
func (e *Endpoint) Stop() { e.dropJobs(); e.downUntil = math.Inf(1) }

// dropJobs removes all jobs without reporting their end.
func (e *Endpoint) dropJobs() {
	e.jobs, e.running, e.nextDoneValid = e.jobs[:0], 0, false
	clear(e.jobsOnCore)
}

// Set puts a fault in force under a number.
func (e *Endpoint) Set(n int, f Fault) { e.faults[n] = f; e.updateRate() }

// Clear ends the fault with a number.
func (e *Endpoint) Clear(n int) { delete(e.faults, n); e.updateRate() }

// JobCount returns the number of jobs, running and waiting.
func (e *Endpoint) JobCount() int { return len(e.jobs) }

// Up reports whether the endpoint's process is running.
func (e *Endpoint) Up() bool { return e.now >= e.downUntil }

// WarmUpShare returns the share of its full capacity that the endpoint has reached: it grows linearly from ColdShare to 1
// in WarmUpMs.
func (e *Endpoint) WarmUpShare() float64 {
	if e.WarmUpMs <= 0 || e.now-e.started >= e.WarmUpMs {
		return 1
	}
	return e.ColdShare + (1-e.ColdShare)*max(e.now-e.started, 0)/e.WarmUpMs
}

// Capacity returns the work that a warm endpoint without faults does in a ms.
func (e *Endpoint) Capacity() (c float64) {
	for _, s := range e.CoreSpeeds {
		c += s
	}
	return c
}

// updateRate computes the rate from now on, and until when it is valid. Warm-up proceeds in 64 steps.
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

// jobSpeed returns the work done in a ms for each job on a core.
func (e *Endpoint) jobSpeed(core int) float64 {
	return e.CoreSpeeds[core] * e.rate / float64(e.jobsOnCore[core])
}

// Next returns when the state next changes by itself: the first end of a job or a change of the rate. It is infinite
// while there are no jobs.
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

// Advance moves the model's time to now and calls onDone for each job that ends until then, in order.
func (e *Endpoint) Advance(now float64, onDone func(Done)) {
	for e.now < now {
		if len(e.jobs) == 0 { // no job can end, so only the rate at now matters
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

// passRateChange moves on to the pause that is present or next at the model's time, and updates the rate.
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

const workEpsilonMs = 1e-9 // a job with no more work left than this is done; the rest is rounding

// finishJobs ends the jobs whose work is done and starts waiting ones in their slots.
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

// removeJob removes the job with an index.
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

// startWaiting starts waiting jobs while slots are free, each on the core where it runs fastest.
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

// Arrive gives the endpoint a job with an amount of work. The caller must have called Advance with the present time
// before.
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

// collapses reports whether a cold endpoint collapses under the work of an arrival, and records the arrival.
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

// collapseSlack returns how many requests of mean work a cold endpoint may get in addition to the n that it can take,
// since random arrivals cluster, relatively more the fewer they are. The formula is the operators': 2*sqrt(n)+2, and
// 3*sqrt(n)+3 below 30 requests.
func collapseSlack(n float64) float64 {
	const few = 30
	if n < few {
		return 3*math.Sqrt(n) + 3
	}
	return 2*math.Sqrt(n) + 2
}

// Cancel removes a job, running or waiting. An unknown ID is ignored.
func (e *Endpoint) Cancel(id uint64) {
	if n := slices.IndexFunc(e.jobs, func(j Job) bool { return j.ID == id }); n >= 0 {
		e.removeJob(n)
		e.startWaiting()
	}
}
