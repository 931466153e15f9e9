package logic

import (
	"fmt"
	"math"
)

// View is what an instance sees, for staff and logs. Nothing is decided by it.
type View struct {
	Ready, Cold, Idle, IdleCold, Doubted, Familiar, Home, Waiting, Legs int  // Home: places of our own
	Stuck, Asking                                                       int  // keys let in by trials only; exchanges that await loads
	Asks                                                                bool // endpoints are asked for their load
	Fresh                                                               float64
	Rooms, Tokens, Lost, LostLong, Overload, Rate, Usual, Calm          float64 // Calm: 1 while these are drawn in full, 0 where only the familiar count
}

// View counts the endpoints that are ready by what is known of them.
func (b *Balancer) View() View {
	v := View{
		Ready: len(b.ready), Waiting: len(b.queue), Legs: b.out, Rooms: b.rooms, Lost: b.lost, LostLong: b.lostLong,
		Overload: b.overload(), Rate: b.rate * 1000, Usual: b.usual,
		Stuck: b.stuckKeys(), Asking: len(b.asking), Asks: b.blind(), Fresh: b.fresh, Calm: b.calm,
	}
	for _, e := range b.ready {
		cold, idle := b.isCold(e), e.legs == 0
		for _, c := range []struct {
			is bool
			n  *int
		}{{cold, &v.Cold}, {idle, &v.Idle}, {idle && cold, &v.IdleCold}, {e.doubted, &v.Doubted}, {b.familiar(e), &v.Familiar}, {e.home, &v.Home}} {
			if c.is {
				*c.n++
			}
		}
		if cold {
			v.Tokens += e.tokens
		}
	}
	return v
}

func (b *Balancer) stuckKeys() (n int) {
	for k := range heatParts {
		if b.stuck(&exchange{key: KeyID(k) + heatParts}) {
			n++
		}
	}
	return n
}

// Avoided counts the listed endpoints that get nothing but, at the most, a trial now: by the list, by hand or by choice.
func (b *Balancer) Avoided() (n int) {
	for _, e := range b.endpoints {
		if e.listed && (!e.running || e.doubted && !b.mostDoubt) {
			n++
		}
	}
	return n
}

// report tells on-call staff of states that last; what comes and goes in a moment is no news.
func (b *Balancer) report() {
	for _, e := range b.ready {
		if e.doubted != e.noted && b.now-e.changed > b.lasting {
			e.noted = e.doubted
			b.Note(fmt.Sprintf("%s doubtful %t: %.0f of %.0f bad", e.id, e.noted, e.bad, e.good+e.bad))
		}
	}
	if b.now-b.stuckAt > b.lasting {
		n, noted := b.stuckKeys(), b.stuckNoted
		if b.stuckNoted, b.stuckAt = n > 0, b.now; b.stuckNoted != noted {
			b.Note(fmt.Sprintf("keys stuck %t: %d of %d counters", n > 0, n, heatParts))
		}
	}
	b.crowding -= float64(b.beat/b.lasting) * b.crowding
	if len(b.queue) > 0 || b.overload() > b.chance() {
		b.crowding += float64(b.beat / b.lasting)
	}
	if crowded := b.crowding > 0.5; crowded != b.crowded && math.Abs(b.crowding-0.5) > 0.3 {
		b.crowded = crowded
		b.Note(fmt.Sprintf("overload %t: %d legs out, %.0f%% late", crowded, b.out, 100*b.lostLong))
	}
}
