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
		Ready: len(b.ready), Waiting: len(b.queue), Legs: b.legsInFlight, Rooms: b.limitSum, Lost: b.lossShare, LostLong: b.lossShareLong,
		Overload: b.overload(), Rate: b.legRate * 1000, Usual: b.typicalLatency,
		Stuck: b.blockedKeys(), Asking: len(b.awaitingReports), Asks: b.shouldProbe(), Fresh: b.freshShare, Calm: b.lowLossFactor,
	}
	for _, e := range b.ready {
		cold, idle := b.isCold(e), e.legs == 0
		for _, c := range []struct {
			is bool
			n  *int
		}{{cold, &v.Cold}, {idle, &v.Idle}, {idle && cold, &v.IdleCold}, {e.suspect, &v.Doubted}, {b.knownGood(e), &v.Familiar}, {e.home, &v.Home}} {
			if c.is {
				*c.n++
			}
		}
		if cold {
			v.Tokens += e.coldTokens
		}
	}
	return v
}

func (b *Balancer) blockedKeys() (n int) {
	for k := range keyCounterCount {
		if b.blocked(&exchange{key: KeyID(k) + keyCounterCount}) {
			n++
		}
	}
	return n
}

// Avoided counts the listed endpoints that get nothing but, at the most, a trial now: by the list, by hand or by choice.
func (b *Balancer) AvoidedEndpoints() (n int) {
	for _, e := range b.endpoints {
		if e.listed && (!e.running || e.suspect && !b.mostSuspect) {
			n++
		}
	}
	return n
}

// report tells on-call staff of states that last; what comes and goes in a moment is no news.
func (b *Balancer) noteLastingStates() {
	for _, e := range b.ready {
		if e.suspect != e.suspectNoted && b.now-e.suspectChangedAt > b.longestExpected {
			e.suspectNoted = e.suspect
			b.Note(fmt.Sprintf("%s doubtful %t: %.0f of %.0f bad", e.id, e.suspectNoted, e.failures, e.successes+e.failures))
		}
	}
	if b.now-b.blockedCheckedAt > b.longestExpected {
		n, noted := b.blockedKeys(), b.blockedNoted
		if b.blockedNoted, b.blockedCheckedAt = n > 0, b.now; b.blockedNoted != noted {
			b.Note(fmt.Sprintf("keys stuck %t: %d of %d counters", n > 0, n, keyCounterCount))
		}
	}
	b.overloadShare -= float64(b.upkeepInterval/b.longestExpected) * b.overloadShare
	if len(b.queue) > 0 || b.overload() > b.random() {
		b.overloadShare += float64(b.upkeepInterval / b.longestExpected)
	}
	if overloaded := b.overloadShare > 0.5; overloaded != b.overloadNoted && math.Abs(b.overloadShare-0.5) > 0.3 {
		b.overloadNoted = overloaded
		b.Note(fmt.Sprintf("overload %t: %d legs out, %.0f%% late", overloaded, b.legsInFlight, 100*b.lossShareLong))
	}
}
