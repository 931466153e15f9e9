package records

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread describes how evenly arrivals were distributed over the endpoints that were in service throughout a period.
type Spread struct {
	WindowMs          float64
	WindowCount       int
	MaxOverMean       float64 // arrivals at the busiest endpoint over the mean of all, mean over the windows
	WorstMaxOverMean  float64 // the same in the worst window
	IdleShare         float64 // share of endpoints with no arrival, mean over the windows
	JainIndex         float64 // (sum)^2 / (n sum of squares), mean over the windows
	RandomMaxOverMean float64 // MaxOverMean of the same arrivals distributed at random, mean of randomTrials trials
	RandomJainIndex   float64 // JainIndex of the same trials
	RandomIdleShare   float64 // IdleShare of the same trials
	MinArrivals       float64 // at the least busy endpoint, over the whole period
	MeanArrivals      float64 // per endpoint, over the whole period
	MaxArrivals       float64 // at the busiest endpoint, over the whole period
}

// randomTrials is the number of random distributions with which the arrivals of a window are compared.
const randomTrials = 20

// Spread computes the distribution of the arrivals between two times, in windows, over the endpoints in service during
// all of it.
func (b *Book) Spread(from, to, window float64, seed uint64) (s Spread) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index, n := map[int]int{}, 0
	for e, a := range b.InService {
		if a.from <= from && a.to >= to {
			index[e] = n
			n++
		}
	}
	s = Spread{WindowMs: window, WindowCount: int((to - from) / window)}
	if n == 0 || s.WindowCount == 0 {
		return s
	}
	counts, totals := make([][]float64, s.WindowCount), make([]float64, n)
	for w := range counts {
		counts[w] = make([]float64, n)
	}
	for _, l := range b.legs {
		w := int((l.ArrivedAt - from) / window)
		if p, ok := index[l.Endpoint]; ok && l.ArrivedAt >= from && w < s.WindowCount {
			counts[w][p]++
			totals[p]++
		}
	}
	rng, nonEmptyWindows := rand.New(rand.NewPCG(seed, 3)), 0.0
	for _, c := range counts {
		most, jain, idle, sum := evenness(c)
		if sum == 0 {
			continue
		}
		nonEmptyWindows++
		s.MaxOverMean, s.WorstMaxOverMean, s.JainIndex, s.IdleShare = s.MaxOverMean+most, max(s.WorstMaxOverMean, most), s.JainIndex+jain, s.IdleShare+idle
		for range randomTrials {
			sample := make([]float64, n)
			for range int(sum) {
				sample[rng.IntN(n)]++
			}
			most, jain, idle, _ := evenness(sample)
			s.RandomMaxOverMean, s.RandomJainIndex, s.RandomIdleShare = s.RandomMaxOverMean+most/randomTrials, s.RandomJainIndex+jain/randomTrials, s.RandomIdleShare+idle/randomTrials
		}
	}
	for _, f := range []*float64{&s.MaxOverMean, &s.JainIndex, &s.IdleShare, &s.RandomMaxOverMean, &s.RandomJainIndex, &s.RandomIdleShare} {
		*f /= max(nonEmptyWindows, 1)
	}
	s.MinArrivals, s.MaxArrivals = slices.Min(totals), slices.Max(totals)
	for _, c := range totals {
		s.MeanArrivals += c / float64(n)
	}
	return s
}

// evenness returns the maximum over the mean, Jain's fairness index, the share of idle endpoints and the sum of arrival
// counts.
func evenness(c []float64) (most, jain, idle, sum float64) {
	squares := 0.0
	for _, v := range c {
		sum, squares, most = sum+v, squares+v*v, max(most, v)
		if v == 0 {
			idle++
		}
	}
	if sum == 0 {
		return 0, 0, 1, 0
	}
	n := float64(len(c))
	return most / (sum / n), sum * sum / (n * squares), idle / n, sum
}

// Service counts the outcomes of the exchanges of one product, or of all, that were due within a period.
type Service struct {
	Requests       int
	Succeeded      int     // answered correctly before the abandon time and its grace
	InTime         int     // of those that succeeded, within the expected time
	Shed           int     // refused with 503 or 429
	Failed         int     // ended in any other way that the sidecar is responsible for
	Excused        int     // neither succeeded nor shed, and the sidecar is excused
	NotSent        int     // never sent completely to a sidecar
	P50Ms          float64 // latency since the due time, of those that succeeded
	P99Ms          float64
	Legs           int
	NewConnections int // legs that opened a connection
}

// Service counts the exchanges due within a period; product -1 stands for all products.
func (b *Book) Service(from, to float64, product int) (s Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waits := hdrhistogram.New(1, 600_000_000, 3) // microseconds
	for _, x := range b.exchangesInOrder {
		if x.DueAt < from || x.DueAt >= to || product >= 0 && x.Product != product {
			continue
		}
		s.Requests++
		s.Legs += len(x.legs)
		for _, l := range x.legs {
			if l.NewConnection {
				s.NewConnections++
			}
		}
		took := x.EndedAt - x.DueAt
		switch {
		case x.succeeded && took <= b.Products[x.Product].AbandonMs+b.AnswerGraceMs:
			s.Succeeded++
			waits.RecordValue(int64(took * 1000))
			if took <= b.Products[x.Product].ExpectedMs {
				s.InTime++
			}
		case x.SentAt == 0:
			s.NotSent++
		case x.Status == 503 || x.Status == 429:
			s.Shed++
		case x.ExcuseReason != "":
			s.Excused++
		default:
			s.Failed++
		}
	}
	s.P50Ms, s.P99Ms = float64(waits.ValueAtQuantile(50))/1000, float64(waits.ValueAtQuantile(99))/1000
	return s
}

// WindowFigures holds the figures of one window, for tables and charts.
type WindowFigures struct {
	From          float64   // start of the window, in ms
	ArrivalCounts []float64 // by endpoint
	Service
}

// HarnessSendDelay returns by how much clients sent later than was due, at a quantile from 0 to 100. This delay is
// caused by the test harness, not by the sidecars.
func (b *Book) HarnessSendDelay(quantile float64) (ms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delays := hdrhistogram.New(1, 600_000_000, 3)
	for _, x := range b.exchangesInOrder {
		if x.SentAt > 0 {
			delays.RecordValue(int64(max(x.SentAt-x.DueAt, 0) * 1000))
		}
	}
	return float64(delays.ValueAtQuantile(quantile)) / 1000
}

// ArrivalCounts returns the number of arrivals at each endpoint within a period.
func (b *Book) ArrivalCounts(from, to float64) []float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make([]float64, len(b.EndpointNames))
	for _, g := range b.legs {
		if g.ArrivedAt >= from && g.ArrivedAt < to {
			counts[g.Endpoint]++
		}
	}
	return counts
}

// FiguresByWindow divides a run of the given length into windows, both in ms, and returns the figures of each.
func (b *Book) FiguresByWindow(length, window float64) (all []WindowFigures) {
	for from := 0.0; from < length; from += window {
		all = append(all, WindowFigures{From: from, Service: b.Service(from, from+window, -1), ArrivalCounts: b.ArrivalCounts(from, from+window)})
	}
	return all
}

// DrainSummary summarizes the drain of one endpoint from one source of notification.
type DrainSummary struct {
	Endpoint        string
	Source          string  // how the sidecars were notified
	Notified        int     // number of sidecars
	FirstNotifiedAt float64 // when the first sidecar was notified, in ms
	LastNotifiedAt  float64 // when the last sidecar was notified, in ms
	LateSenders     int     // number of sidecars whose legs arrived after the last notification and the grace, until the drain ended for the first
	LateLegs        int     // number of legs that these sent in that period
}

// DrainSummaries returns a summary for each drained endpoint and source of notification, in order of time.
func (b *Book) DrainSummaries() (all []DrainSummary) {
	b.mu.Lock()
	defer b.mu.Unlock()
	type key struct {
		endpoint int
		how      string
	}
	summaries, until := map[key]*DrainSummary{}, map[key]float64{}
	for k, list := range b.drains {
		for _, d := range list {
			o := summaries[key{k[1], d.reason}]
			if o == nil {
				o = &DrainSummary{Endpoint: b.EndpointNames[k[1]], Source: d.reason, FirstNotifiedAt: d.from, LastNotifiedAt: d.from}
				summaries[key{k[1], d.reason}], until[key{k[1], d.reason}] = o, math.Inf(1)
			}
			o.Notified++
			o.FirstNotifiedAt, o.LastNotifiedAt = min(o.FirstNotifiedAt, d.from), max(o.LastNotifiedAt, d.from)
			until[key{k[1], d.reason}] = min(until[key{k[1], d.reason}], d.to) // from then on the endpoint may be sent to again
		}
	}
	for k, o := range summaries {
		senders := map[int]bool{}
		for _, l := range b.legs {
			if l.Endpoint == k.endpoint && l.ArrivedAt > o.LastNotifiedAt+b.DrainGraceMs && l.ArrivedAt < until[k] && l.exchange != nil {
				senders[l.exchange.Sidecar] = true
				o.LateLegs++
			}
		}
		o.LateSenders = len(senders)
		all = append(all, *o)
	}
	slices.SortFunc(all, func(a, o DrainSummary) int {
		return cmp.Or(cmp.Compare(a.FirstNotifiedAt, o.FirstNotifiedAt), cmp.Compare(a.Endpoint, o.Endpoint))
	})
	return all
}

// MaxConcurrentLegs returns the largest number of legs in progress at one endpoint, of those that arrived within a
// period.
func (b *Book) MaxConcurrentLegs(from, to float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	type change struct {
		at    float64
		delta int
	}
	changes, most := make([][]change, len(b.EndpointNames)), 0
	for _, l := range b.legs {
		if l.ArrivedAt >= from && l.ArrivedAt < to {
			end := l.EndedAt
			if end == 0 {
				end = math.Inf(1)
			}
			changes[l.Endpoint] = append(changes[l.Endpoint], change{l.ArrivedAt, 1}, change{end, -1})
		}
	}
	for _, list := range changes {
		slices.SortFunc(list, func(a, o change) int {
			if a.at != o.at {
				if a.at < o.at {
					return -1
				}
				return 1
			}
			return a.delta - o.delta
		})
		open := 0
		for _, s := range list {
			open += s.delta
			most = max(most, open)
		}
	}
	return most
}
