package logic

import (
	"fmt"
	"math"
)

// View is the state of an instance for operators and logs. Nothing is decided by it. The debug log has the fields under
// these names.
type View struct {
	Ready    int     // endpoints that may get legs
	Cold     int     // those of them that are cold
	Idle     int     // ready endpoints without a leg of ours
	IdleCold int     // those of them that are cold
	Doubted  int     // ready endpoints that are suspects
	Familiar int     // ready endpoints that are known-good
	Home     int     // ready endpoints in the home subset
	Waiting  int     // exchanges in the queue
	Legs     int     // in flight
	Stuck    int     // blocked keys, whose exchanges are admitted as trials only
	Asking   int     // exchanges that wait for load reports
	Asks     bool    // endpoints are probed before exchanges are sent
	Fresh    float64 // share of tests that found a changed load report
	Rooms    float64 // concurrency limits of the ready endpoints together
	Tokens   float64 // of the cold endpoints together
	Lost     float64 // share of lost legs
	LostLong float64 // the same over a longer time
	Overload float64 // part of the exchanges that is shed
	Rate     float64 // legs sent per second
	Usual    float64 // typical latency of all products, ms
	Calm     float64 // 1 while endpoints of the home subset are drawn in full, 0 where only known-good ones count
}

// View returns the state of the instance, with the ready endpoints counted by what is known of them.
func (b *Balancer) View() View {
	v := View{
		Ready: len(b.ready), Waiting: len(b.queue), Legs: b.legsInFlight, Rooms: b.limitSum,
		Lost: b.lossShare, LostLong: b.lossShareLong,
		Overload: b.overload(), Rate: b.legRate * 1000, Usual: b.typicalLatency,
		Stuck: b.blockedKeys(), Asking: len(b.awaitingReports), Asks: b.shouldProbe(),
		Fresh: b.freshShare, Calm: b.lowLossFactor,
	}
	for _, e := range b.ready {
		cold, idle := b.isCold(e), e.legs == 0
		for _, c := range []struct {
			is bool
			n  *int
		}{
			{cold, &v.Cold}, {idle, &v.Idle}, {idle && cold, &v.IdleCold},
			{e.suspect, &v.Doubted}, {b.knownGood(e), &v.Familiar}, {e.home, &v.Home},
		} {
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

// blockedKeys counts the key counters that are blocked.
func (b *Balancer) blockedKeys() (n int) {
	for k := range keyCounterCount {
		if b.blocked(&exchange{key: KeyID(k) + keyCounterCount}) {
			n++
		}
	}
	return n
}

// AvoidedEndpoints counts the listed endpoints that get no leg or trials only: by the list, by an operator's drain or as
// suspects.
func (b *Balancer) AvoidedEndpoints() (n int) {
	for _, e := range b.endpoints {
		if e.listed && (!e.running || e.suspect && !b.mostSuspect) {
			n++
		}
	}
	return n
}

// noteLastingStates notifies the operator of suspects, blocked keys and overload, and of their ends. States that come and
// go within a longest expected time are left out.
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
