package virtual

import (
	"math"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Baselines are the policies that the decision module is compared with, by name. Apart from the module itself, with and
// without hedges, they only choose an endpoint: an exchange has one leg, with no hedge and no retry, and is shed only
// if there is no endpoint.
var Baselines = map[string]DeciderFactory{
	"random":        singleLeg(func(b *baseline) int { return b.randomInt(len(b.endpoints)) }),
	"round robin":   singleLeg(func(b *baseline) int { b.next++; return b.next % len(b.endpoints) }),
	"least in hand": singleLeg(func(b *baseline) int { return b.leastLoaded(len(b.endpoints)) }),
	"two choices":   singleLeg(func(b *baseline) int { return b.leastLoaded(2) }),
	"lynxjunction":  NewModule,
	"without copies": func(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
		t.MayHedge = false
		return NewModule(t, out, now)
	},
}

// baseline is a Decider that sends each exchange once, to the endpoint that pick chooses.
type baseline struct {
	logic.Outgoing
	pick               func(*baseline) int
	endpoints          []logic.EndpointID
	legsInFlight       map[logic.EndpointID]int
	endpointByExchange map[logic.ExchangeID]logic.EndpointID
	rngState           uint64
	next               int
}

// singleLeg returns the factory of baselines with the given choice of an endpoint.
func singleLeg(pick func(*baseline) int) DeciderFactory {
	return func(t logic.Terms, out logic.Outgoing, _ logic.Millis) Decider {
		b := &baseline{Outgoing: out, pick: pick, legsInFlight: map[logic.EndpointID]int{}, endpointByExchange: map[logic.ExchangeID]logic.EndpointID{}, rngState: t.Seed | 1}
		b.next = b.randomInt(1 << 20)
		out.Watch()
		return b
	}
}

// randomInt returns a pseudo-random number from 0 to n-1.
func (b *baseline) randomInt(n int) int {
	b.rngState ^= b.rngState << 13
	b.rngState ^= b.rngState >> 7
	b.rngState ^= b.rngState << 17
	return int(b.rngState % uint64(n))
}

// leastLoaded samples so many endpoints at random and returns the index of the one with the fewest legs of this sidecar
// in flight. Ties are broken at random, which matters if the sample is all endpoints.
func (b *baseline) leastLoaded(sampleSize int) int {
	best, fewest, ties := 0, math.MaxInt, 0
	for k := range sampleSize {
		n := k
		if sampleSize < len(b.endpoints) {
			n = b.randomInt(len(b.endpoints))
		}
		switch held := b.legsInFlight[b.endpoints[n]]; {
		case held < fewest:
			best, fewest, ties = n, held, 1
		case held == fewest:
			if ties++; b.randomInt(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

func (b *baseline) SetNow(logic.Millis) {}
func (b *baseline) ListStarts()         { b.endpoints = nil }
func (b *baseline) ListEnds(bool)       {}
func (b *baseline) Listed(id logic.EndpointID, h logic.Health, _ logic.ZoneID, _ logic.KindID, _ logic.CellID, _ float64, _ logic.Millis) {
	kept := b.endpoints[:0]
	for _, o := range b.endpoints {
		if o != id {
			kept = append(kept, o)
		}
	}
	if b.endpoints = kept; h == logic.Running {
		b.endpoints = append(b.endpoints, id)
	}
}
func (b *baseline) ListCallFailed()          { b.SetTimer(1000, 1) }
func (b *baseline) TimerFired(logic.TimerID) { b.Watch() }
func (b *baseline) Arrive(id logic.ExchangeID, _ logic.ProductID, _ logic.TenantID, _ logic.KeyID, _ logic.Millis, _ float64, _ bool) {
	if len(b.endpoints) == 0 {
		b.Shed(id, logic.NoEndpoint, 0)
		return
	}
	to := b.endpoints[b.pick(b)]
	b.endpointByExchange[id] = to
	b.legsInFlight[to]++
	b.Send(id, to, 0)
}
func (b *baseline) LegEnded(id logic.ExchangeID, _ logic.LegNo, o logic.Outcome, _ logic.Millis, _ bool) {
	b.ClientLeft(id)
	if o != logic.Succeeded {
		b.Fail(id, logic.LegsFailed)
	}
}
func (b *baseline) ClientLeft(id logic.ExchangeID) {
	if to, out := b.endpointByExchange[id]; out {
		b.legsInFlight[to]--
		delete(b.endpointByExchange, id)
	}
}
