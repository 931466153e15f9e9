package logic

import (
	"fmt"
	"testing"
)

// idle takes what the module asks for, and does nothing.
type idle struct{ to EndpointID }

func (s *idle) Send(_ ExchangeID, to EndpointID, _ Millis) { s.to = to }
func (s *idle) Cancel(ExchangeID, LegNo)                   {}
func (s *idle) Shed(ExchangeID, Reason, Millis)            {}
func (s *idle) Fail(ExchangeID, Reason)                    {}
func (s *idle) SetTimer(Millis, TimerID)                   {}
func (s *idle) NotifyPeer(PeerID, []byte)                  {}
func (s *idle) Watch()                                     {}
func (s *idle) Probe(EndpointID)                           {}
func (s *idle) Note(string)                                {}

// BenchmarkExchange is one exchange that arrives, is answered after 10 ms and ends, a hundred a second, with the upkeep of its time.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(Terms{Seed: 1, Fleet: 300, Products: []Product{{Effect: Retryable, Expected: 400, Abandon: 1500, Value: 1}}, MaxLegs: 3, MayHedge: true}, &idle{}, 1e6)
			m.ListStarts()
			for e := range n {
				m.Listed(EndpointID(fmt.Sprint("e", e)), Running, 0, 0, 0, 1, 0)
			}
			m.ListEnds(true)
			now, beat := Millis(1e6), Millis(1e6)
			b.ReportAllocs()
			for b.Loop() {
				m.SetNow(now)
				m.Arrive("x", 0, -1, 0, now+1500, 0, false)
				now += 10
				m.SetNow(now)
				m.LegEnded("x", 0, Succeeded, 10, true)
				for ; beat < now; beat += 80 {
					m.TimerFired(0)
				}
			}
		})
	}
}
