// Package soak draws rehearsals with overlapping faults from seeds, plays them and reduces one that breaks a rule to the faults
// that it needs. The same seed draws the same rehearsal. What a rehearsal shows is judged by internal/rig and internal/records.
package soak

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// Sizes of a drawn rehearsal.
const (
	lengthSeconds     = 16.0
	fewestSidecars    = 3
	mostSidecars      = 12
	mostSidecarsLarge = 100 // with large fleets
	fewestEndpoints   = 5
	mostEndpoints     = 12
	requestsASecond   = 150.0 // of the whole fleet
	workMs            = 8.0
	lastFaultSeconds  = 11.0 // later ones would have no time to show
	crowdSockets      = 256  // of each sidecar, in rehearsals with a crowd
)

// Draw is the rehearsal of a seed.
func Draw(seed uint64, large bool) (*scenario.Scenario, error) {
	d := &drawing{Rand: rand.New(rand.NewPCG(seed, 50))}
	d.s = scenario.Scenario{Title: fmt.Sprintf("soak, seed %d", seed), Seed: seed, Length: lengthSeconds, Phases: []float64{0, lengthSeconds}}
	d.fleet(large)
	d.products()
	d.endpoints()
	d.processFaults()
	d.signalSeries()
	d.crowd()
	if d.chance(0.35) {
		d.busyDiscovery()
	} else {
		d.discoveryFaults()
	}
	d.endpointFaults()
	d.linkFaults()
	text, err := Text(&d.s)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(fmt.Sprintf("seed-%d.toml", seed), text)
}

// Text is a rehearsal as a file that lab run plays.
func Text(s *scenario.Scenario) ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s)
	return text.Bytes(), err
}

type drawing struct {
	*rand.Rand
	s                scenario.Scenario
	drained, staying []int // endpoints: what drains does not crash, for then it would be listed in service again
}

// hundredth rounds what stands in the file.
func hundredth(v float64) float64 { return math.Round(100*v) / 100 }

// between draws from a range, to a hundredth.
func (d *drawing) between(least, most float64) float64 {
	return hundredth(least + d.Float64()*(most-least))
}

func (d *drawing) chance(p float64) bool { return d.Float64() < p }

func (d *drawing) fleet(large bool) {
	many := fewestSidecars + d.IntN(mostSidecars-fewestSidecars+1)
	if large {
		many = mostSidecars + d.IntN(mostSidecarsLarge-mostSidecars+1)
	}
	d.s.Fleet = scenario.Fleet{Sidecars: many, Rate: requestsASecond / float64(many), HeavyShare: 0.2, HeavyFactor: 3, Zones: []string{"a"}, MaxLegs: 2 + d.IntN(3)}
	if d.chance(0.5) {
		d.s.Fleet.Zones = []string{"a", "b"}
	}
	if d.chance(0.3) {
		d.s.Fleet.BudgetWindow, d.s.Fleet.ExtraFree, d.s.Fleet.ExtraRatio = 4, 4, 0.2
	}
}

func (d *drawing) products() {
	for _, effect := range []string{"replayable", "single-use", "referenced"} {
		abandon := math.Round(d.between(300, 2500))
		d.s.Products = append(d.s.Products, scenario.Product{Name: "to-" + effect, Effect: effect, Share: d.between(0.2, 1),
			ExpectedTime: math.Round(abandon * d.between(0.4, 0.9)), AbandonTime: abandon, Work: workMs, Distribution: "exponential"})
	}
}

func (d *drawing) endpoints() {
	g := scenario.Group{Name: "e", Count: fewestEndpoints + d.IntN(mostEndpoints-fewestEndpoints+1), Cores: 2, Slots: 4, QueueSize: 100, MaxConnections: 2000}
	if d.chance(0.3) {
		g.ErrorShare = 0.02
	}
	if d.chance(0.3) {
		g.PauseInterval, g.PauseLength = 3, 60
	}
	if d.chance(0.5) { // one that starts can take a few requests a second only, less than its part of the load
		g.ColdFrom, g.ColdPeriod, g.FallMultiple, g.FallWindow, g.DownTime, g.FallSlack = 0.01, 60, 2, 1, 3, true
	}
	d.s.Endpoints = []scenario.Group{g}
	order := d.Perm(g.Count)
	drains := 1 + d.IntN(3)
	d.drained, d.staying = order[:drains], order[drains:]
}

func (d *drawing) add(f scenario.Fault) { d.s.Faults = append(d.s.Faults, f) }

func (d *drawing) time(last float64) float64 { return d.between(0.5, last) }

// some draws sidecars or endpoints by their letter, no more than a share of them.
func (d *drawing) some(letter string, of int, share float64) (names []string) {
	for _, n := range d.Perm(of)[:max(1, int(float64(of)*share*d.Float64()))] {
		names = append(names, fmt.Sprint(letter, n))
	}
	return names
}

// processFaults ends, replaces, halts and reconfigures processes. One process is ended or replaced once at most.
func (d *drawing) processFaults() {
	all := d.Perm(d.s.Fleet.Sidecars)
	ends := []string{"restart", "upgrade", "kill", "restart", "upgrade"}
	d.Shuffle(len(ends), func(a, b int) { ends[a], ends[b] = ends[b], ends[a] })
	for n, what := range ends[:1+d.IntN(min(len(ends), len(all)-1))] {
		f := scenario.Fault{Kind: what, At: d.time(lastFaultSeconds), Targets: []string{fmt.Sprint("s", all[n])}}
		if what == "kill" {
			f.Duration = d.between(0.3, 2)
		}
		d.add(f)
	}
	if d.chance(0.6) {
		d.add(scenario.Fault{Kind: "stop", At: d.time(lastFaultSeconds), Duration: d.between(0.05, 0.15), Targets: d.some("s", d.s.Fleet.Sidecars, 0.5), Stagger: 0.3})
	}
	if d.chance(0.4) {
		d.add(scenario.Fault{Kind: "reload", At: d.time(lastFaultSeconds), Targets: []string{"s*"}, Stagger: 0.05})
	}
	if d.chance(0.5) {
		d.add(scenario.Fault{Kind: "leave", At: d.time(6), Duration: d.between(2, 6), Targets: d.some("s", d.s.Fleet.Sidecars, 1), Size: math.Round(d.between(10, 300))})
	}
}

// signalSeries sends SIGHUP several times a second, to some in the middle of their restart too.
func (d *drawing) signalSeries() {
	if !d.chance(0.4) {
		return
	}
	at, who := d.time(lastFaultSeconds-2), d.some("s", d.s.Fleet.Sidecars, 0.6)
	for n := range 3 + d.IntN(4) {
		d.add(scenario.Fault{Kind: "reload", At: hundredth(at + float64(n)*d.between(0.1, 0.3)), Targets: who})
	}
}

// crowd has idle clients fill the descriptors of some sidecars.
func (d *drawing) crowd() {
	if !d.chance(0.25) {
		return
	}
	d.s.Fleet.Sockets = crowdSockets
	d.add(scenario.Fault{Kind: "crowd", At: d.time(6), Duration: d.between(2, 6), Targets: d.some("s", min(d.s.Fleet.Sidecars, 3), 1), Size: crowdSockets * 1.2})
}

// busyDiscovery leaves discovery little capacity to spare, for the whole rehearsal, through an outage, a restart of all or spoilt
// answers, and has endpoints drain meanwhile. The work fits into the time in which a change has to be known.
func (d *drawing) busyDiscovery() {
	round, at := d.between(3.5, 4.8), d.time(2)
	switch d.IntN(3) {
	case 0:
		down := d.between(2, 5)
		d.add(scenario.Fault{Kind: "list-off", At: at, Duration: down})
		at = min(at+down, 8)
	case 1:
		round = d.between(1, 2)
		d.add(scenario.Fault{Kind: "list-off", At: at, Duration: 0.2})
		d.add(scenario.Fault{Kind: "list-spoil", At: at, Size: 1})
	case 2:
		round = d.between(1, 2)
		d.add(scenario.Fault{Kind: "move", At: at, Targets: []string{"s*"}, Stagger: 0.02})
	}
	d.add(scenario.Fault{Kind: "list-busy", At: 0, Duration: lengthSeconds - 0.5, Size: round})
	for _, n := range d.drained {
		what := "drain"
		if d.chance(0.5) {
			what = "replace"
		}
		d.add(scenario.Fault{Kind: what, At: hundredth(max(at+d.between(-1.5, 0.5), 0)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

// discoveryFaults take discovery away, spoil its answers and move it, and have endpoints drain around these times.
func (d *drawing) discoveryFaults() {
	at := d.time(3)
	if d.chance(0.6) {
		down := d.between(0.5, 5)
		d.add(scenario.Fault{Kind: "list-off", At: at, Duration: down})
		at = min(at+down+d.between(0, 0.5), 9)
	}
	if d.chance(0.7) {
		d.add(scenario.Fault{Kind: "list-spoil", At: max(at-0.1, 0), Size: float64(1 + d.IntN(3))})
	}
	if d.chance(0.6) {
		series := 1 + d.IntN(4)
		for n := range series {
			d.add(scenario.Fault{Kind: "move", At: hundredth(at + float64(n)*d.between(0.15, 0.6)), Targets: []string{"s*"}, Stagger: 0.05})
		}
	}
	if d.chance(0.2) {
		d.add(scenario.Fault{Kind: "list-late", At: 0.5, Duration: 10, Size: d.between(0.1, 1.5)})
	}
	for _, n := range d.drained {
		what := "drain"
		if d.chance(0.5) {
			what = "replace"
		}
		d.add(scenario.Fault{Kind: what, At: hundredth(min(at+d.between(-0.5, 1.5), lastFaultSeconds)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

func (d *drawing) endpointFaults() {
	for _, f := range []scenario.Fault{{Kind: "hang"}, {Kind: "slow", Size: d.between(2, 8)}, {Kind: "errors", Size: d.between(0.1, 0.7)}, {Kind: "crash"}} {
		if d.chance(0.4) {
			f.At, f.Duration, f.Targets = d.time(8), d.between(0.5, 4), d.some("e", d.s.Endpoints[0].Count, 0.4)
			if f.Kind == "crash" {
				f.Targets = []string{fmt.Sprint("e", d.staying[d.IntN(len(d.staying))])}
			}
			d.add(f)
		}
	}
}

func (d *drawing) linkFaults() {
	for _, f := range []scenario.Fault{{Kind: "cut"}, {Kind: "silent"}, {Kind: "delay", Size: d.between(5, 80)}, {Kind: "jitter", Size: d.between(5, 50)},
		{Kind: "lose", Size: d.between(0.02, 0.3), Direction: "back"}, {Kind: "reset"}} {
		if !d.chance(0.25) {
			continue
		}
		f.At, f.Link = d.time(8), "upstream"
		f.Targets, f.RemoteEndpoints = d.some("s", d.s.Fleet.Sidecars, 0.6), d.some("e", d.s.Endpoints[0].Count, 0.5)
		if f.Kind != "reset" {
			f.Duration = d.between(0.3, 3)
		}
		d.add(f)
	}
	if d.chance(0.3) {
		d.add(scenario.Fault{Kind: []string{"cut", "silent"}[d.IntN(2)], Link: "list", At: d.time(6), Duration: d.between(0.5, 3), Targets: d.some("s", d.s.Fleet.Sidecars, 0.5)})
	}
}
