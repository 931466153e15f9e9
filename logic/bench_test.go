package logic

import (
	"fmt"
	"testing"
)

// stubOutgoing is an Outgoing that only keeps the endpoint of the last leg.
type stubOutgoing struct{ target EndpointID }

func (s *stubOutgoing) Send(_ ExchangeID, to EndpointID, _ Millis) { s.target = to }
func (s *stubOutgoing) Cancel(ExchangeID, LegNo)                   {}
func (s *stubOutgoing) Shed(ExchangeID, Reason, Millis)            {}
func (s *stubOutgoing) Fail(ExchangeID, Reason)                    {}
func (s *stubOutgoing) SetTimer(Millis, TimerID)                   {}
func (s *stubOutgoing) NotifyPeer(PeerID, []byte)                  {}
func (s *stubOutgoing) Watch()                                     {}
func (s *stubOutgoing) Probe(EndpointID)                           {}
func (s *stubOutgoing) Note(string)                                {}

// BenchmarkExchange measures one exchange that arrives and ends with an answer after 10 ms, at a hundred exchanges a
// second, including the upkeep that is due in that time.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := New(Terms{Seed: 1, Fleet: 300, Products: []Product{{Effect: Retryable, Expected: 400, Abandon: 1500, Value: 1}}, MaxLegs: 3, MayHedge: true}, &stubOutgoing{}, 1e6)
			m.ListStarts()
			for e := range n {
				m.Listed(EndpointID(fmt.Sprint("e", e)), Running, 0, 0, 0, 1, 0)
			}
			m.ListEnds(true)
			now, nextTick := Millis(1e6), Millis(1e6)
			b.ReportAllocs()
			for b.Loop() {
				m.SetNow(now)
				m.Arrive("x", 0, -1, 0, now+1500, 0, false)
				now += 10
				m.SetNow(now)
				m.LegEnded("x", 0, Succeeded, 10, true)
				for ; nextTick < now; nextTick += 80 {
					m.TimerFired(0)
				}
			}
		})
	}
}
