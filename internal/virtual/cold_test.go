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
type sentTo struct {
	started map[logic.EndpointID]float64
	at      map[logic.EndpointID][]float64
}

// watched is an instance whose legs are noted.
type watched struct {
	Decider
	logic.Outgoing
	now  logic.Millis
	sent *sentTo
}

func (w *watched) SetNow(now logic.Millis) { w.now = now; w.Decider.SetNow(now) }

func (w *watched) TimerFired(t logic.TimerID) { w.Decider.TimerFired(t) }

func (w *watched) Listed(id logic.EndpointID, h logic.Health, zone logic.ZoneID, kind logic.KindID, cell logic.CellID, size float64, readyAt logic.Millis) {
	if readyAt > 0 {
		w.sent.started[id] = float64(readyAt)
	}
	w.Decider.Listed(id, h, zone, kind, cell, size, readyAt)
}

func (w *watched) Send(x logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	w.sent.at[to] = append(w.sent.at[to], float64(w.now))
	w.Outgoing.Send(x, to, giveUpAfter)
}

// most is the greatest share of what is allowed, chance included, that a cold endpoint was sent in any window: n legs of mean
// work are allowed when it starts, times warm once it is warm, 2 root n + 2 more are put down to chance.
func (s *sentTo) most(n, warm, cold, window float64) (most float64, of int) {
	for id, started := range s.started {
		of++
		at := s.at[id][sort.SearchFloat64s(s.at[id], started):] // what went to it before went to another process
		for from, to := 0, 0; to < len(at) && at[to] < started+cold; to++ {
			for at[from] <= at[to]-window {
				from++
			}
			allowed := n * (1 + (warm-1)*math.Max(at[to]-started, 0)/cold)
			most = math.Max(most, float64(to-from+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return most, of
}

// A cold endpoint falls under the sum of what all processes send. However many there are, heavy or light, half of the
// endpoints replaced in a few steps, all processes restarted amid it, and others lost, so that the rest is crowded: none is
// sent more than it may be.
func TestColdUnderTheSumOfAll(t *testing.T) {
	const endpoints, work = 40, 20.0
	for _, fleet := range []int{1, 5, 20, 30, 350} {
		for _, perEndpoint := range []float64{25, 60} { // half busy; more than all can do
			for _, c := range []struct{ name, faults string }{
				{"replaced", ""},
				{"and all restarted", "[[faults]]\nat_s = 4\nwhat = \"restart\"\nwho = [\"s*\"]\nshare = 1.0\n"},
				{"and a quarter lost", "[[faults]]\nat_s = 4\nfor_s = 5\nwhat = \"crash\"\nwho = [\"e30\", \"e31\", \"e32\", \"e33\", \"e34\", \"e35\", \"e36\", \"e37\", \"e38\", \"e39\"]\n"},
			} {
				steps := strings.Builder{}
				for step := range 4 {
					who := []string{}
					for n := range 6 {
						who = append(who, fmt.Sprintf("%q", fmt.Sprint("e", step*6+n)))
					}
					fmt.Fprintf(&steps, "[[faults]]\nat_s = %g\nwhat = \"replace\"\nwho = [%s]\n", 2+1.5*float64(step), strings.Join(who, ", "))
				}
				for seed := range uint64(1) {
					s := parse(t, text(fleet, perEndpoint*endpoints/float64(fleet), endpoints, 10, steps.String()+c.faults), seed+1)
					sent := &sentTo{started: map[logic.EndpointID]float64{}, at: map[logic.EndpointID][]float64{}}
					_, err := Run(s, func(terms logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
						w := &watched{Outgoing: out, now: now, sent: sent}
						w.Decider = logic.New(terms, w, now)
						return w
					})
					assert.NoError(t, err)
					n := 3 * 0.2 * 1000 / work
					most, of := sent.most(n, 1/0.2, 5000, 1000)
					assert.GreaterOrEqual(t, of, 24)
					assert.LessOrEqual(t, most, 1.0, "%d sidecars, %g a second an endpoint, %s", fleet, perEndpoint, c.name)
					t.Logf("%d sidecars, %g a second an endpoint, %s: %.2f", fleet, perEndpoint, c.name, most)
				}
			}
		}
	}
}
