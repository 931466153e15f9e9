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

// legLog records the times at which the sidecars of a fleet sent legs to each endpoint, and the times at which
// endpoints started.
type legLog struct {
	startedAt map[logic.EndpointID]float64
	sentAt    map[logic.EndpointID][]float64
}

// legRecorder passes on all events and calls of an instance and records its legs.
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

// maxShareOfAllowance returns the number of legs that a cold endpoint was sent in any window, as a share of the number
// that is allowed, at its maximum over all endpoints that started, and the number of these endpoints. The allowance is
// allowedCold legs of mean work at the start of the endpoint and rises linearly to warmFactor times as many over the
// cold period. To an allowance of n, 2·√n + 2 legs are added for random variation.
func (s *legLog) maxShareOfAllowance(allowedCold, warmFactor, coldPeriodMs, windowMs float64) (maxShare float64, endpointCount int) {
	for id, started := range s.startedAt {
		endpointCount++
		at := s.sentAt[id][sort.SearchFloat64s(s.sentAt[id], started):] // legs sent before the start went to an earlier process
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

// Guards against the overload of cold endpoints: a cold endpoint crashes under the sum of the load from all sidecars.
// More than half of the endpoints are replaced in four steps, for fleets of different sizes and at low and high load.
// In some cases all sidecars restart meanwhile, or a quarter of the endpoints crash, which puts more load on the
// others. No cold endpoint may be sent more than its allowance.
func TestColdEndpointsAreNotOverloadedByTheWholeFleet(t *testing.T) {
	const endpoints, work = 40, 20.0
	for _, sidecars := range []int{1, 5, 20, 30, 350} {
		for _, perEndpoint := range []float64{25, 60} { // half of the capacity; more than the capacity
			for _, c := range []struct{ name, faults string }{
				{"endpoints replaced", ""},
				{"endpoints replaced, all sidecars restarted", "[[faults]]\nat_s = 4\nwhat = \"restart\"\nwho = [\"s*\"]\nshare = 1.0\n"},
				{"endpoints replaced, a quarter crashed", "[[faults]]\nat_s = 4\nfor_s = 5\nwhat = \"crash\"\nwho = [\"e30\", \"e31\", \"e32\", \"e33\", \"e34\", \"e35\", \"e36\", \"e37\", \"e38\", \"e39\"]\n"},
			} {
				steps := strings.Builder{}
				for step := range 4 {
					targets := []string{}
					for n := range 6 {
						targets = append(targets, fmt.Sprintf("%q", fmt.Sprint("e", step*6+n)))
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
					assert.LessOrEqual(t, maxShare, 1.0, "%d sidecars, %g exchanges per second and endpoint, %s", sidecars, perEndpoint, c.name)
					t.Logf("%d sidecars, %g exchanges per second and endpoint, %s: %.2f", sidecars, perEndpoint, c.name, maxShare)
				}
			}
		}
	}
}
