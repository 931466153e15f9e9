package virtual

import (
	"math"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Baselines choose an endpoint and nothing else: one leg, no copy, no retry, no dismissal. They are here to be compared with.
var Baselines = map[string]Maker{
	"random":        plain(func(b *baseline) int { return b.draw(len(b.up)) }),
	"round robin":   plain(func(b *baseline) int { b.turn++; return b.turn % len(b.up) }),
	"least in hand": plain(func(b *baseline) int { return b.least(len(b.up)) }),
	"two choices":   plain(func(b *baseline) int { return b.least(2) }),
	"lynxjunction":  Module,
	"without copies": func(t logic.Terms, out logic.Outgoing, now logic.Millis) Decider {
		t.MayHedge = false
		return Module(t, out, now)
	},
}

type baseline struct {
	logic.Outgoing
	pick func(*baseline) int
	up   []logic.EndpointID
	held map[logic.EndpointID]int
	to   map[logic.ExchangeID]logic.EndpointID
	dice uint64
	turn int
}

func plain(pick func(*baseline) int) Maker {
	return func(t logic.Terms, out logic.Outgoing, _ logic.Millis) Decider {
		b := &baseline{Outgoing: out, pick: pick, held: map[logic.EndpointID]int{}, to: map[logic.ExchangeID]logic.EndpointID{}, dice: t.Seed | 1}
		b.turn = b.draw(1 << 20)
		out.Watch()
		return b
	}
}

func (b *baseline) draw(n int) int {
	b.dice ^= b.dice << 13
	b.dice ^= b.dice >> 7
	b.dice ^= b.dice << 17
	return int(b.dice % uint64(n))
}

// least draws so many and takes the one with the fewest of our legs; where it draws all, ties fall by chance.
func (b *baseline) least(of int) int {
	best, fewest, ties := 0, math.MaxInt, 0
	for k := range of {
		n := k
		if of < len(b.up) {
			n = b.draw(len(b.up))
		}
		switch h := b.held[b.up[n]]; {
		case h < fewest:
			best, fewest, ties = n, h, 1
		case h == fewest:
			if ties++; b.draw(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

func (b *baseline) SetNow(logic.Millis) {}
func (b *baseline) ListStarts()         { b.up = nil }
func (b *baseline) ListEnds(bool)       {}
func (b *baseline) Listed(id logic.EndpointID, h logic.Health, _ logic.ZoneID, _ logic.KindID, _ logic.CellID, _ float64, _ logic.Millis) {
	kept := b.up[:0]
	for _, o := range b.up {
		if o != id {
			kept = append(kept, o)
		}
	}
	if b.up = kept; h == logic.Running {
		b.up = append(b.up, id)
	}
}
func (b *baseline) ListCallFailed()          { b.SetTimer(1000, 1) }
func (b *baseline) TimerFired(logic.TimerID) { b.Watch() }
func (b *baseline) Arrive(id logic.ExchangeID, _ logic.ProductID, _ logic.TenantID, _ logic.KeyID, _ logic.Millis, _ float64, _ bool) {
	if len(b.up) == 0 {
		b.Shed(id, logic.NoEndpoint, 0)
		return
	}
	to := b.up[b.pick(b)]
	b.to[id] = to
	b.held[to]++
	b.Send(id, to, 0)
}
func (b *baseline) LegEnded(id logic.ExchangeID, _ logic.LegNo, o logic.Outcome, _ logic.Millis, _ bool) {
	b.ClientLeft(id)
	if o != logic.Succeeded {
		b.Fail(id, logic.LegsFailed)
	}
}
func (b *baseline) ClientLeft(id logic.ExchangeID) {
	if to, out := b.to[id]; out {
		b.held[to]--
		delete(b.to, id)
	}
}
