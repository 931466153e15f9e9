package logic

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// newPlacementBalancer starts a Balancer with eight endpoints of two zones and two kinds of machine. Its products are
// constrained to a zone, to a kind, to both, to a zone without endpoints, to no zone at all, and not constrained.
func newPlacementBalancer(configure func(*Terms)) (*Balancer, *recorder) {
	r := &recorder{}
	p := Product{Effect: Retryable, Expected: 1000, Abandon: 4000, Value: 1, OverdueShare: 0.5}
	terms := Terms{Seed: 7, Fleet: 20, MaxLegs: 3, MayHedge: true, MayCancel: true, PullList: true, AskWithin: 10000,
		ColdPeriod: 10000, FallWindow: 1000, ColdFrom: 0.1, FallMultiple: 3, TimerTick: 5}
	for _, constraint := range []struct {
		zones []ZoneID
		kinds []KindID
	}{{[]ZoneID{0}, nil}, {nil, []KindID{1}}, {[]ZoneID{1}, []KindID{0}}, {[]ZoneID{9}, nil}, {[]ZoneID{}, nil}, {nil, nil}} {
		p.RunsIn, p.AllowedOn = constraint.zones, constraint.kinds
		terms.Products = append(terms.Products, p)
	}
	terms.Products[0].Effect, terms.Products[0].Group, terms.Products[0].DedupMemory = Deduplicated, OneCell, 3000
	if configure != nil {
		configure(&terms)
	}
	b := New(terms, r, 1000)
	b.ListStarts()
	for n, name := range "abcdefgh" {
		b.Listed(EndpointID(name), Running, ZoneID(n%2), KindID(n/2%2), CellID(n/4), 1, 0)
	}
	b.ListEnds(true)
	return b, r
}

// No leg of a product may go to a zone or a kind of machine that its product does not allow, whether it is the first, a
// hedge, a further leg or one that was queued. Meanwhile endpoints fail, fill up, drain, start cold, are drained by
// operators and change their zone and kind, in random order.
func TestLegsKeepPlacementConstraints(t *testing.T) {
	for name, configure := range map[string]func(*Terms){
		"plain": nil, "keys": func(t *Terms) { t.WarmKeys = true },
		"probing":           func(t *Terms) { t.MayProbe, t.ReportsLoad = true, true },
		"sidecar in zone 1": func(t *Terms) { t.Zone, t.CrossZonePrice = 1, 0.03 },
		"small fleet":       func(t *Terms) { t.Fleet = 1 },
	} {
		sent := [6]int{}
		for seed := range uint64(6) {
			b, r := newPlacementBalancer(configure)
			b.rng ^= seed * 0x9e3779b97f4a7c15
			zone, kind := map[string]ZoneID{}, map[string]KindID{}
			for n, name := range "abcdefgh" {
				zone[string(name)], kind[string(name)] = ZoneID(n%2), KindID(n/2%2)
			}
			type sentLeg struct {
				id  ExchangeID
				p   int
				leg LegNo
			}
			var inFlight []sentLeg
			legs := map[ExchangeID]LegNo{}
			products := map[ExchangeID]int{}
			probed := []string{}
			checkSent := func() {
				for _, line := range r.take("send", "probe") {
					var x, to string
					if n, _ := fmt.Sscanf(line, "probe %s", &to); n == 1 {
						probed = append(probed, to)
						continue
					}
					_, err := fmt.Sscanf(line, "send %s %s", &x, &to)
					if !assert.NoError(t, err, line) {
						return
					}
					p := products[ExchangeID(x)]
					product := b.products[p].Product
					if !assert.True(t, product.permits(zone[to], kind[to]), "%s: product %d at %s, zone %d, kind %d", name, p, to, zone[to], kind[to]) {
						return
					}
					sent[p]++
					inFlight = append(inFlight, sentLeg{ExchangeID(x), p, legs[ExchangeID(x)]})
					legs[ExchangeID(x)]++
				}
			}
			for step := range 4000 {
				b.SetNow(b.now + Millis(20*b.random()))
				id := string("abcdefgh"[int(b.random()*8)])
				switch action := b.random(); {
				case action < 0.5:
					x, p := ExchangeID(fmt.Sprint("x", step)), int(b.random()*6)
					products[x] = p
					b.Arrive(x, ProductID(p), -1, KeyID(1+step%5), b.now+4000, 0, false)
				case action < 0.85 && len(inFlight) > 0:
					n := int(b.random() * float64(len(inFlight)))
					l := inFlight[n]
					inFlight = append(inFlight[:n], inFlight[n+1:]...)
					outcome := []Outcome{Succeeded, Succeeded, Errored, Full, TimedOut, Reset, NoConnection}[int(b.random()*7)]
					b.LegEnded(l.id, l.leg, outcome, Millis(100*b.random()), outcome == Succeeded)
				case action < 0.88:
					zone[id], kind[id] = ZoneID(b.random()*2), KindID(b.random()*2)
					b.Listed(EndpointID(id), Running, zone[id], kind[id], 0, 1, 0)
					b.ListEnds(false)
				case action < 0.9:
					b.Listed(EndpointID(id), NotRunning, zone[id], kind[id], 0, 1, 0)
					b.ListEnds(false)
				case action < 0.91:
					b.Listed(EndpointID(id), Running, zone[id], kind[id], 0, 1, b.now)
					b.ListEnds(false)
				case action < 0.92:
					b.Drain(EndpointID(id))
				case action < 0.94:
					b.Undrain(EndpointID(id))
				case action < 0.97:
					answered := probed
					probed = nil
					for _, to := range answered {
						b.Probed(EndpointID(to), b.random() < 0.9, Load{Held: float64(int(5 * b.random()))})
					}
				default:
					b.TimerFired(0)
				}
				for _, x := range b.slots { // timers fire in any order
					if x.next != nil && !x.answered && b.random() < 0.01 {
						x.next(b, x, stepEvent{kind: []eventKind{hedgeDue, waitExpired}[int(b.random()*2)]})
					}
				}
				checkSent()
			}
		}
		for p, n := range sent {
			if p == 3 || p == 4 {
				assert.Zero(t, n, "%s: no endpoint is allowed for product %d", name, p)
			} else {
				assert.Greater(t, n, 100, "%s: product %d", name, p)
			}
		}
	}
}

// An exchange of a constrained product must wait while the endpoints allowed for it are full, without holding back
// exchanges of other products. If no endpoint is allowed for it at all, it must be shed at once.
func TestConstrainedProductDoesNotBlockOthers(t *testing.T) {
	b, r := newPlacementBalancer(nil)
	b.minLimit, b.typicalLatency = 1, 50
	for _, e := range b.ready {
		if e.zone == 0 {
			e.limit, e.legs, e.ownWork = 1, 50, 50
		}
	}
	assert.Empty(t, arrive(b, r, "waits", 0))
	assert.Len(t, b.queue, 1)
	assert.NotEmpty(t, arrive(b, r, "goes", 5))
	assert.Equal(t, "waits", string(b.queue[0].id))
	r.take()
	b.Arrive("nowhere", 3, -1, 0, b.now+4000, 0, false)
	assert.Equal(t, []string{"shed nowhere"}, r.take("shed", "send"))
	assert.Nil(t, b.exchanges["nowhere"])
	for _, e := range b.ready {
		if e.zone == 0 {
			e.legs, e.ownWork = 0, 0
		}
	}
	b.dispatchQueue()
	to := sentTo(r)
	assert.Contains(t, "aceg", string(to))
	assert.NotEmpty(t, to)
}

// Guards against an effect that comes twice: after a leg that may have run the list moves its endpoint to another zone and cell.
// The endpoints there know nothing of the repeat's key, those of the old ones do.
func TestRepeatStaysWhereItsFirstLegRanWhenTheEndpointMoves(t *testing.T) {
	repeats := 0
	for _, group := range []Group{OneZone, OneCell} {
		for _, movesZone := range []bool{true, false} {
			if group == OneZone && !movesZone {
				continue
			}
			for seed := range uint64(20) {
				b, r := newPlacementBalancer(func(terms *Terms) {
					terms.Seed = seed
					terms.Products[5].Effect, terms.Products[5].Group, terms.Products[5].DedupMemory = Deduplicated, group, 3000
				})
				first := arrive(b, r, "x", 5)
				e := b.byID[first]
				zone, cell := e.zone, e.cell
				to := zone
				if movesZone {
					to = 1 - zone
				}
				b.Listed(first, Running, to, e.kind, 1-cell, 1, 0)
				b.ListEnds(false)
				r.take()
				b.SetNow(b.now + 10)
				b.LegEnded("x", 0, Errored, 10, false)
				repeat := sentTo(r)
				if repeat == "" {
					continue // no endpoint is left in the group that has capacity
				}
				repeats++
				assert.NotEqual(t, first, repeat, "%v: the endpoint that has moved away", group)
				if group == OneZone {
					assert.Equal(t, zone, b.byID[repeat].zone)
				} else {
					assert.Equal(t, cell, b.byID[repeat].cell)
				}
			}
		}
	}
	assert.Greater(t, repeats, 30)
}
