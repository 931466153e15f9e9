package records

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Spread is how evenly arrivals fell on endpoints that were in service all the while.
type Spread struct {
	WindowMs                               float64 // ms
	WindowCount                            int
	MaxOverMean                            float64 // mean over the windows
	WorstMaxOverMean                       float64 // in the worst window
	IdleShare                              float64 // share of endpoints with no arrival, mean over the windows
	JainIndex                              float64 // (sum)^2 / (n sum of squares), mean over the windows
	RandomMaxOverMean, RandomJainIndex     float64 // of the same arrivals thrown at random, mean of many throws
	RandomIdleShare                        float64
	MinArrivals, MeanArrivals, MaxArrivals float64 // arrivals an endpoint over the whole time
}

const randomTrials = 20

// Spread looks at arrivals from one time to another, in windows. Endpoints are those in service all that time.
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

// Service is how a product's exchanges, or all, fared within a time.
type Service struct {
	Requests, Succeeded, InTime, Shed, Failed, Excused, NotSent int
	P50Ms, P99Ms                                                float64 // ms from when it was due, of the satisfied
	Legs                                                        int
	NewConnections                                              int // legs that opened a connection
}

// Service counts exchanges due within a time; product -1 for all.
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

// Line is one product's or endpoint's figures in a window, for tables and charts.
type WindowFigures struct {
	From          float64
	ArrivalCounts []float64 // arrivals by endpoint
	Service
}

// OwnLateness is by how much the clients sent later than was due, at a quantile from 0 to 100: the rehearsal's own fault.
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

// Counts are the arrivals at each endpoint within a time.
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

// Lines are the whole time in windows.
func (b *Book) FiguresByWindow(length, window float64) (all []WindowFigures) {
	for from := 0.0; from < length; from += window {
		all = append(all, WindowFigures{From: from, Service: b.Service(from, from+window, -1), ArrivalCounts: b.ArrivalCounts(from, from+window)})
	}
	return all
}

// Outage is an endpoint that sidecars were told to send nothing new to.
type DrainSummary struct {
	Endpoint                        string
	Source                          string
	Notified                        int // sidecars
	FirstNotifiedAt, LastNotifiedAt float64
	LateSenders                     int // sidecars that sent there after the last was told and the grace, until the first was told otherwise
	LateLegs                        int // that these sent
}

// Outages are all of them, by endpoint and by how it was told.
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
			until[key{k[1], d.reason}] = min(until[key{k[1], d.reason}], d.to) // then it comes back
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

// MostHeld is the most legs that one endpoint held at once, within a time.
func (b *Book) MaxConcurrentLegs(from, to float64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	type change struct {
		at float64
		by int
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
			return a.by - o.by
		})
		open := 0
		for _, s := range list {
			open += s.by
			most = max(most, open)
		}
	}
	return most
}
