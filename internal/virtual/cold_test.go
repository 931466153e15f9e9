package virtual

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lynxjunction/lynxjunction/logic"
)

// sentTo are the legs that the instances of a fleet sent to endpoints that had started, with when that was.
type legLog struct {
	startedAt map[logic.EndpointID]float64
	sentAt    map[logic.EndpointID][]float64
}

// watched is an instance whose legs are noted.
type legRecorder struct {
	Decider
	logic.Outgoing
	now logic.Millis
	log *legLog
}

func (r *legRecorder) SetNow(now logic.Millis) { r.now = now; r.Decider.SetNow(now) }

func (r *legRecorder) TimerFired(t logic.TimerID) { r.Decider.TimerFired(t) }

func (r *legRecorder) Listed(id logic.EndpointID, h logic.Health, zone logic.ZoneID, kind logic.KindID, cell logic.CellID, size float64, readyAt logic.Millis) {
	if readyAt > 0 {
		r.log.startedAt[id] = float64(readyAt)
	}
	r.Decider.Listed(id, h, zone, kind, cell, size, readyAt)
}

func (r *legRecorder) Send(x logic.ExchangeID, to logic.EndpointID, timeout logic.Millis) {
	r.log.sentAt[to] = append(r.log.sentAt[to], float64(r.now))
	r.Outgoing.Send(x, to, timeout)
}

// most is the greatest share of what is allowed, chance included, that a cold endpoint was sent in any window: n legs of mean
// work are allowed when it starts, times warm once it is warm, 2 root n + 2 more are put down to chance.
func (s *legLog) maxShareOfAllowance(allowedCold, warmFactor, coldPeriodMs, windowMs float64) (maxShare float64, endpointCount int) {
	for id, started := range s.startedAt {
		endpointCount++
		at := s.sentAt[id][sort.SearchFloat64s(s.sentAt[id], started):] // what went to it before went to another process
		for from, to := 0, 0; to < len(at) && at[to] < started+coldPeriodMs; to++ {
			for at[from] <= at[to]-windowMs {
				from++
			}
			allowed := allowedCold * (1 + (warmFactor-1)*math.Max(at[to]-started, 0)/coldPeriodMs)
			maxShare = math.Max(maxShare, float64(to-from+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return maxShare, endpointCount
}

// A cold endpoint falls under the sum of what all processes send. However many there are, heavy or light, half of the
// endpoints replaced in a few steps, all processes restarted amid it, and others lost, so that the rest is crowded: none is
// sent more than it may be.
func TestColdEndpointsAreNotOverloadedByTheWholeFleet(t *testing.T) {
	const endpoints, work = 40, 20.0
	for _, sidecars := range []int{1, 5, 20, 30, 350} {
		for _, perEndpoint := range []float64{25, 60} { // half busy; more than all can do
			for _, c := range []struct{ name, faults string }{
				{"replaced", ""},
				{"and all restarted", "[[faults]]\nat_s = 4\nwhat = \"restart\"\nwho = [\"s*\"]\nshare = 1.0\n"},
				{"and a quarter lost", "[[faults]]\nat_s = 4\nfor_s = 5\nwhat = \"crash\"\nwho = [\"e30\", \"e31\", \"e32\", \"e33\", \"e34\", \"e35\", \"e36\", \"e37\", \"e38\", \"e39\"]\n"},
			} {
				steps := strings.Builder{}
				for step := range 4 {
					targets := []string{}
					for allowedCold := range 6 {
						targets = append(targets, fmt.Sprintf("%q", fmt.Sprint("e", step*6+allowedCold)))
					}
					fmt.Fprintf(&steps, "[[faults]]\nat_s = %g\nwhat = \"replace\"\nwho = [%s]\n", 2+1.5*float64(step), strings.Join(targets, ", "))
				}
				for seed := range uint64(1) {
					s := parseScenario(t, scenarioText(sidecars, perEndpoint*endpoints/float64(sidecars), endpoints, 10, steps.String()+c.faults), seed+1)
					sent := &legLog{startedAt: map[logic.EndpointID]float64{}, sentAt: map[logic.EndpointID][]float64{}}
					_, err := Run(s, func(terms logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
						recorder := &legRecorder{Outgoing: out, now: now, log: sent}
						recorder.Decider = logic.New(terms, recorder, now)
						return recorder
					})
					assert.NoError(t, err)
					allowedCold := 3 * 0.2 * 1000 / work
					maxShare, endpointCount := sent.maxShareOfAllowance(allowedCold, 1/0.2, 5000, 1000)
					assert.GreaterOrEqual(t, endpointCount, 24)
					assert.LessOrEqual(t, maxShare, 1.0, "%d sidecars, %g a second an endpoint, %s", sidecars, perEndpoint, c.name)
					t.Logf("%d sidecars, %g a second an endpoint, %s: %.2f", sidecars, perEndpoint, c.name, maxShare)
				}
			}
		}
	}
}
