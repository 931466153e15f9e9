package logic

import (
	"fmt"
	"testing"
)

// idle takes what the module asks for, and does nothing.
type idle struct{ to EndpointID }

func (s *idle) Send(_ ExchangeID, to EndpointID, _ Millis) { s.to = to }
func (s *idle) Cancel(ExchangeID, LegNo)                   {}
func (s *idle) Dismiss(ExchangeID, Reason, Millis)         {}
func (s *idle) Forfeit(ExchangeID, Reason)                 {}
func (s *idle) Wake(Millis, TimerID)                       {}
func (s *idle) Tell(PeerID, []byte)                        {}
func (s *idle) Watch()                                     {}
func (s *idle) Probe(EndpointID)                           {}
func (s *idle) Note(string)                                {}

// BenchmarkExchange is one exchange that arrives, is answered after 10 ms and ends, a hundred a second, with the upkeep of its time.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(Terms{Seed: 1, Fleet: 300, Products: []Product{{Effect: Replayable, Expected: 400, Abandon: 1500, Value: 1}}, MaxLegs: 3, SecondCopies: true}, &idle{}, 1e6)
			m.ListStarts()
			for e := range n {
				m.Listed(EndpointID(fmt.Sprint("e", e)), Running, 0, 0, 0, 1, 0)
			}
			m.ListEnds(true)
			now, beat := Millis(1e6), Millis(1e6)
			b.ReportAllocs()
			for b.Loop() {
				m.At(now)
				m.Arrive("x", 0, -1, 0, now+1500, 0, false)
				now += 10
				m.At(now)
				m.Ended("x", 0, Satisfied, 10, true)
				for ; beat < now; beat += 80 {
					m.Alarm(0)
				}
			}
		})
	}
}
