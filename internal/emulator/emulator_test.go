package emulator

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// simulateBatches runs 20 batches of n jobs with Poisson arrivals. It returns for each batch the mean time that jobs
// waited in the queue, the mean number of jobs held and the utilisation of the cores.
func simulateBatches(seed uint64, cores int, load float64, draw func(*rand.Rand) float64, n int) (wait, held, busy []float64) {
	for batch := range 20 {
		rng := rand.New(rand.NewPCG(seed, uint64(batch)))
		speeds := make([]float64, cores)
		for c := range speeds {
			speeds[c] = 1
		}
		e := New(Kind{CoreSpeeds: speeds, Slots: cores, QueueLimit: 1 << 30, ColdShare: 1}, seed, -1e9, 0)
		arrived, work, sum, now, area, last := map[uint64]float64{}, map[uint64]float64{}, 0.0, 0.0, 0.0, 0.0
		count := func(at float64, jobs int) { area += float64(jobs) * (at - last); last = at }
		done := func(d Done) {
			count(d.At, e.JobCount()+1)
			sum += d.At - arrived[d.ID] - work[d.ID]
		}
		for id := range uint64(n) {
			now += rng.ExpFloat64() * 10 / (load * float64(cores)) // mean work is 10
			e.Advance(now, done)
			count(now, e.JobCount())
			arrived[id], work[id] = now, draw(rng)
			assert.Equal(new(testing.T), Accepted, e.Arrive(id, work[id]))
		}
		e.Advance(now+1e7, done)
		wait, held, busy = append(wait, sum/float64(n)), append(held, area/now), append(busy, e.WorkDoneMs/now/float64(cores))
	}
	return wait, held, busy
}

// assertInConfidenceInterval asserts that the known value lies in the confidence interval of the mean (99.9%, Student's t
// over 20 batches).
func assertInConfidenceInterval(t *testing.T, name string, known float64, batches []float64) {
	mean, sd := stat.MeanStdDev(batches, nil)
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(batches) - 1)}.Quantile(0.9995) * sd / math.Sqrt(float64(len(batches)))
	assert.InDelta(t, known, mean, half, "%s: expected %.4f, measured %.4f +- %.4f", name, known, mean, half)
}

// erlangC returns the probability of waiting in an M/M/c queue.
func erlangC(c int, load float64) float64 {
	a, sum, term := load*float64(c), 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	return term / (1 - load) / (sum + term/(1-load))
}

// Compares the model with known results of queueing theory: waiting times of M/M/c and of M/G/1 (Pollaczek and
// Khinchine), utilisation and Little's law.
func TestQueueingMatchesKnownResults(t *testing.T) {
	exponential := func(d *rand.Rand) float64 { return 10 * d.ExpFloat64() }
	fixed := func(*rand.Rand) float64 { return 10 }
	mixed := func(d *rand.Rand) float64 { // mean 10, squared coefficient of variation 2.25
		if d.Float64() < 0.1 {
			return 55
		}
		return 5
	}
	for _, c := range []struct {
		name  string
		cores int
		load  float64
		draw  func(*rand.Rand) float64
		wait  float64
	}{
		{"M/M/1 at 0.5", 1, 0.5, exponential, 10}, {"M/M/1 at 0.8", 1, 0.8, exponential, 40},
		{"M/M/4 at 0.7", 4, 0.7, exponential, erlangC(4, 0.7) * 10 / (4 * 0.3)},
		{"M/D/1 at 0.7", 1, 0.7, fixed, 0.7 * 10 / (2 * 0.3)}, {"M/G/1 at 0.6", 1, 0.6, mixed, 0.6 * 10 * (1 + 2.25) / (2 * 0.4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			wait, held, busy := simulateBatches(7, c.cores, c.load, c.draw, 20000)
			assertInConfidenceInterval(t, "wait", c.wait, wait)
			assertInConfidenceInterval(t, "utilisation", c.load, busy)
			assertInConfidenceInterval(t, "Little", c.load*float64(c.cores)/10*(c.wait+10), held)
		})
	}
}

// newSingleCore creates an endpoint with one core of speed 1 and one slot.
func newSingleCore(k Kind) *Endpoint {
	k.CoreSpeeds, k.Slots = []float64{1}, 1
	return New(k, 1, 0, 0)
}

func TestEndpointStates(t *testing.T) {
	ends := []float64{}
	recordEnd := func(d Done) { ends = append(ends, d.At) }
	t.Run("two faults on one endpoint, either ends first", func(t *testing.T) {
		for _, first := range []int{1, 2} {
			ends = nil
			e := newSingleCore(Kind{ColdShare: 1, QueueLimit: 9})
			e.Arrive(1, 10)
			e.Set(1, Fault{Slowdown: 2})
			e.Set(2, Fault{Hang: true})
			e.Advance(100, recordEnd)
			e.Clear(first)
			e.Advance(105, recordEnd)
			e.Clear(3 - first)
			e.Advance(200, recordEnd)
			assert.Equal(t, []float64{[]float64{0, 115, 112.5}[first]}, ends)
		}
	})
	t.Run("warms up linearly", func(t *testing.T) {
		ends = nil
		e := newSingleCore(Kind{ColdShare: 0.5, WarmUpMs: 100, QueueLimit: 9})
		e.Arrive(1, 75)
		e.Advance(1000, recordEnd)
		assert.InDelta(t, 100, ends[0], 1)
	})
	t.Run("overloaded until idle for the recovery time", func(t *testing.T) {
		ends = nil
		e := newSingleCore(Kind{ColdShare: 1, QueueLimit: 9, OverloadAt: 3, OverloadSlowdown: 2, RecoveryIdleMs: 50})
		for id := range uint64(3) {
			e.Arrive(id, 10)
		}
		e.Advance(70, recordEnd)
		e.Arrive(4, 10)
		e.Advance(200, recordEnd)
		e.Arrive(5, 10)
		e.Advance(300, recordEnd)
		assert.Equal(t, []float64{20, 40, 60, 90, 210}, ends)
	})
	t.Run("refuses, cancels, collapses when cold, restarts", func(t *testing.T) {
		e := newSingleCore(Kind{ColdShare: 0.5, WarmUpMs: 1000, QueueLimit: 1, CollapseRatio: 3, CollapseWindowMs: 20, DownMs: 100})
		assert.Equal(t, []ArrivalResult{Accepted, Accepted, Full}, []ArrivalResult{e.Arrive(1, 5), e.Arrive(2, 5), e.Arrive(3, 5)})
		e.Cancel(1)
		e.Cancel(77)
		assert.Equal(t, []ArrivalResult{Accepted, Down, Down}, []ArrivalResult{e.Arrive(4, 5), e.Arrive(5, 30), e.Arrive(6, 5)})
		assert.Equal(t, []int{1, 0}, []int{e.Collapses, e.JobCount()})
		e.Advance(150, func(Done) { t.Error("a job that was dropped by the collapse ended") })
		assert.Equal(t, Accepted, e.Arrive(7, 1))
		assert.InDelta(t, 0.525, e.WarmUpShare(), 0.001)
	})
	t.Run("pauses", func(t *testing.T) {
		e := New(Kind{CoreSpeeds: []float64{1}, Slots: 1, ColdShare: 1, QueueLimit: 9, PauseIntervalMs: 100, PauseMs: 100}, 5, 0, 0)
		last := 0.0
		for id := range uint64(2000) {
			e.Arrive(id, 10)
			e.Advance(e.now+1e6, func(d Done) { last = d.At })
		}
		e.Arrive(9999, 50000)
		before := e.now
		e.Advance(e.now+1e9, func(d Done) { last = d.At })
		assert.InDelta(t, 2, (last-before)/50000, 0.2, "pauses take half of the time")
	})
}

// The slack of a cold endpoint before a collapse follows the operators' formula.
func TestCollapseSlack(t *testing.T) {
	for n, want := range map[float64]float64{0: 3, 4: 9, 25: 18, 36: 14, 100: 22} {
		assert.InDelta(t, want, collapseSlack(n), 1e-9, "%v requests", n)
	}
	e := New(Kind{CoreSpeeds: []float64{1}, Slots: 100, QueueLimit: 100, ColdShare: 0.5, WarmUpMs: 1e9, CollapseRatio: 2, CollapseWindowMs: 10, MeanWorkMs: 10, DownMs: 100}, 1, 0, 0)
	taken := 0
	for e.Collapses == 0 && taken < 50 {
		taken++
		e.Arrive(uint64(taken), 10)
	}
	assert.Equal(t, 8, taken, "one request and a slack of six are allowed; the eighth exceeds them")
}
