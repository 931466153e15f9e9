// Package soak generates scenarios with overlapping faults from seeds, runs them, and reduces a scenario that breaks a
// rule to the faults that it needs. The same seed always gives the same scenario. Packages rig and records run a
// scenario and check the rules.
package soak

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// Sizes of a generated scenario.
const (
	lengthSeconds          = 16.0
	minSidecars            = 3
	maxSidecars            = 12
	maxSidecarsLarge       = 100 // when large fleets are requested
	minEndpoints           = 5
	maxEndpoints           = 12
	fleetRequestsPerSecond = 150.0 // divided by the number of sidecars
	workMs                 = 8.0   // mean work of a request
	lastFaultSeconds       = 11.0  // the effects of later faults would not show before the end
	floodSocketLimit       = 256   // sockets that each sidecar may open, in scenarios with a connection flood
)

// Draw generates the scenario of a seed.
func Draw(seed uint64, large bool) (*scenario.Scenario, error) {
	d := &generator{Rand: rand.New(rand.NewPCG(seed, 50))}
	d.scenario = scenario.Scenario{Title: fmt.Sprintf("soak, seed %d", seed), Seed: seed, Length: lengthSeconds, Phases: []float64{0, lengthSeconds}}
	d.drawFleet(large)
	d.drawProducts()
	d.drawEndpoints()
	d.processFaults()
	d.reloadSeries()
	d.connectionFlood()
	if d.withProbability(0.35) {
		d.busyDiscovery()
	} else {
		d.discoveryFaults()
	}
	d.endpointFaults()
	d.linkFaults()
	text, err := Text(&d.scenario)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(fmt.Sprintf("seed-%d.toml", seed), text)
}

// Text encodes a scenario as a file that lab run accepts.
func Text(s *scenario.Scenario) ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s)
	return text.Bytes(), err
}

// generator makes the random choices of one scenario. Their order determines the scenario of a seed, so it must not
// change.
type generator struct {
	*rand.Rand
	scenario          scenario.Scenario
	drainingEndpoints []int // by number; they never crash, since an endpoint that restarts would be listed in service again
	stayingEndpoints  []int // by number; endpoints that are not drained
}

// roundToHundredth rounds values that are written to the file.
func roundToHundredth(v float64) float64 { return math.Round(100*v) / 100 }

// uniform draws a value from a range, rounded to a hundredth.
func (d *generator) uniform(low, high float64) float64 {
	return roundToHundredth(low + d.Float64()*(high-low))
}

// withProbability returns true with probability p.
func (d *generator) withProbability(p float64) bool { return d.Float64() < p }

// drawFleet chooses the size of the fleet and its limits on legs.
func (d *generator) drawFleet(large bool) {
	sidecars := minSidecars + d.IntN(maxSidecars-minSidecars+1)
	if large {
		sidecars = maxSidecars + d.IntN(maxSidecarsLarge-maxSidecars+1)
	}
	d.scenario.Fleet = scenario.Fleet{Sidecars: sidecars, Rate: fleetRequestsPerSecond / float64(sidecars), HeavyShare: 0.2, HeavyFactor: 3, Zones: []string{"a"}, MaxLegs: 2 + d.IntN(3)}
	if d.withProbability(0.5) {
		d.scenario.Fleet.Zones = []string{"a", "b"}
	}
	if d.withProbability(0.3) {
		d.scenario.Fleet.BudgetWindow, d.scenario.Fleet.ExtraFree, d.scenario.Fleet.ExtraRatio = 4, 4, 0.2
	}
}

// drawProducts adds one product for each kind of effect.
func (d *generator) drawProducts() {
	for _, effect := range []string{"replayable", "single-use", "referenced"} {
		abandon := math.Round(d.uniform(300, 2500))
		d.scenario.Products = append(d.scenario.Products, scenario.Product{Name: "to-" + effect, Effect: effect, Share: d.uniform(0.2, 1),
			ExpectedTime: math.Round(abandon * d.uniform(0.4, 0.9)), AbandonTime: abandon, Work: workMs, Distribution: "exponential"})
	}
}

// drawEndpoints chooses the group of endpoints, and which of them may be drained.
func (d *generator) drawEndpoints() {
	group := scenario.Group{Name: "e", Count: minEndpoints + d.IntN(maxEndpoints-minEndpoints+1), Cores: 2, Slots: 4, QueueSize: 100, MaxConnections: 2000}
	if d.withProbability(0.3) {
		group.ErrorShare = 0.02
	}
	if d.withProbability(0.3) {
		group.PauseInterval, group.PauseLength = 3, 60
	}
	if d.withProbability(0.5) { // an endpoint that starts takes only a few requests per second, less than its share of the load
		group.ColdFrom, group.ColdPeriod, group.FallMultiple, group.FallWindow, group.DownTime, group.FallSlack = 0.01, 60, 2, 1, 3, true
	}
	d.scenario.Endpoints = []scenario.Group{group}
	order := d.Perm(group.Count)
	drainCount := 1 + d.IntN(3)
	d.drainingEndpoints, d.stayingEndpoints = order[:drainCount], order[drainCount:]
}

func (d *generator) addFault(f scenario.Fault) { d.scenario.Faults = append(d.scenario.Faults, f) }

// faultTime draws the time of a fault.
func (d *generator) faultTime(latest float64) float64 { return d.uniform(0.5, latest) }

// pickNames picks the names of some sidecars (prefix s) or endpoints (prefix e): at least one, and at most a share of
// them.
func (d *generator) pickNames(prefix string, total int, maxShare float64) (names []string) {
	for _, n := range d.Perm(total)[:max(1, int(float64(total)*maxShare*d.Float64()))] {
		names = append(names, fmt.Sprint(prefix, n))
	}
	return names
}

// processFaults restarts, upgrades, kills, stops and reconfigures processes, and has clients leave. A process is
// restarted, upgraded or killed at most once.
func (d *generator) processFaults() {
	all := d.Perm(d.scenario.Fleet.Sidecars)
	ends := []string{"restart", "upgrade", "kill", "restart", "upgrade"}
	d.Shuffle(len(ends), func(a, b int) { ends[a], ends[b] = ends[b], ends[a] })
	for n, what := range ends[:1+d.IntN(min(len(ends), len(all)-1))] {
		f := scenario.Fault{Kind: what, At: d.faultTime(lastFaultSeconds), Targets: []string{fmt.Sprint("s", all[n])}}
		if what == "kill" {
			f.Duration = d.uniform(0.3, 2)
		}
		d.addFault(f)
	}
	if d.withProbability(0.6) {
		d.addFault(scenario.Fault{Kind: "stop", At: d.faultTime(lastFaultSeconds), Duration: d.uniform(0.05, 0.15), Targets: d.pickNames("s", d.scenario.Fleet.Sidecars, 0.5), Stagger: 0.3})
	}
	if d.withProbability(0.4) {
		d.addFault(scenario.Fault{Kind: "reload", At: d.faultTime(lastFaultSeconds), Targets: []string{"s*"}, Stagger: 0.05})
	}
	if d.withProbability(0.5) {
		d.addFault(scenario.Fault{Kind: "leave", At: d.faultTime(6), Duration: d.uniform(2, 6), Targets: d.pickNames("s", d.scenario.Fleet.Sidecars, 1), Size: math.Round(d.uniform(10, 300))})
	}
}

// reloadSeries sends SIGHUP several times per second, which may also hit processes that are restarting.
func (d *generator) reloadSeries() {
	if !d.withProbability(0.4) {
		return
	}
	at, who := d.faultTime(lastFaultSeconds-2), d.pickNames("s", d.scenario.Fleet.Sidecars, 0.6)
	for n := range 3 + d.IntN(4) {
		d.addFault(scenario.Fault{Kind: "reload", At: roundToHundredth(at + float64(n)*d.uniform(0.1, 0.3)), Targets: who})
	}
}

// connectionFlood has idle clients use up the file descriptors of some sidecars.
func (d *generator) connectionFlood() {
	if !d.withProbability(0.25) {
		return
	}
	d.scenario.Fleet.Sockets = floodSocketLimit
	d.addFault(scenario.Fault{Kind: "crowd", At: d.faultTime(6), Duration: d.uniform(2, 6), Targets: d.pickNames("s", min(d.scenario.Fleet.Sidecars, 3), 1), Size: floodSocketLimit * 1.2})
}

// busyDiscovery leaves discovery little spare capacity for the whole scenario, adds an outage, a short outage with faulty
// answers or a switch of all sidecars to discovery's second address, and has endpoints drain meanwhile. One call of each
// sidecar still fits into the time within which sidecars must be notified of a change.
func (d *generator) busyDiscovery() {
	roundSeconds, at := d.uniform(3.5, 4.8), d.faultTime(2)
	switch d.IntN(3) {
	case 0:
		down := d.uniform(2, 5)
		d.addFault(scenario.Fault{Kind: "list-off", At: at, Duration: down})
		at = min(at+down, 8)
	case 1:
		roundSeconds = d.uniform(1, 2)
		d.addFault(scenario.Fault{Kind: "list-off", At: at, Duration: 0.2})
		d.addFault(scenario.Fault{Kind: "list-spoil", At: at, Size: 1})
	case 2:
		roundSeconds = d.uniform(1, 2)
		d.addFault(scenario.Fault{Kind: "move", At: at, Targets: []string{"s*"}, Stagger: 0.02})
	}
	d.addFault(scenario.Fault{Kind: "list-busy", At: 0, Duration: lengthSeconds - 0.5, Size: roundSeconds})
	for _, n := range d.drainingEndpoints {
		what := "drain"
		if d.withProbability(0.5) {
			what = "replace"
		}
		d.addFault(scenario.Fault{Kind: what, At: roundToHundredth(max(at+d.uniform(-1.5, 0.5), 0)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

// discoveryFaults makes discovery unavailable, corrupts its answers and switches sidecars between its two addresses, and
// has endpoints drain around these times.
func (d *generator) discoveryFaults() {
	at := d.faultTime(3)
	if d.withProbability(0.6) {
		down := d.uniform(0.5, 5)
		d.addFault(scenario.Fault{Kind: "list-off", At: at, Duration: down})
		at = min(at+down+d.uniform(0, 0.5), 9)
	}
	if d.withProbability(0.7) {
		d.addFault(scenario.Fault{Kind: "list-spoil", At: max(at-0.1, 0), Size: float64(1 + d.IntN(3))})
	}
	if d.withProbability(0.6) {
		series := 1 + d.IntN(4)
		for n := range series {
			d.addFault(scenario.Fault{Kind: "move", At: roundToHundredth(at + float64(n)*d.uniform(0.15, 0.6)), Targets: []string{"s*"}, Stagger: 0.05})
		}
	}
	if d.withProbability(0.2) {
		d.addFault(scenario.Fault{Kind: "list-late", At: 0.5, Duration: 10, Size: d.uniform(0.1, 1.5)})
	}
	for _, n := range d.drainingEndpoints {
		what := "drain"
		if d.withProbability(0.5) {
			what = "replace"
		}
		d.addFault(scenario.Fault{Kind: what, At: roundToHundredth(min(at+d.uniform(-0.5, 1.5), lastFaultSeconds)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

// endpointFaults makes endpoints hang, slow down, answer with errors or crash.
func (d *generator) endpointFaults() {
	for _, f := range []scenario.Fault{{Kind: "hang"}, {Kind: "slow", Size: d.uniform(2, 8)}, {Kind: "errors", Size: d.uniform(0.1, 0.7)}, {Kind: "crash"}} {
		if d.withProbability(0.4) {
			f.At, f.Duration, f.Targets = d.faultTime(8), d.uniform(0.5, 4), d.pickNames("e", d.scenario.Endpoints[0].Count, 0.4)
			if f.Kind == "crash" {
				f.Targets = []string{fmt.Sprint("e", d.stayingEndpoints[d.IntN(len(d.stayingEndpoints))])}
			}
			d.addFault(f)
		}
	}
}

// linkFaults disturbs links from sidecars to endpoints and to discovery.
func (d *generator) linkFaults() {
	for _, f := range []scenario.Fault{{Kind: "cut"}, {Kind: "silent"}, {Kind: "delay", Size: d.uniform(5, 80)}, {Kind: "jitter", Size: d.uniform(5, 50)},
		{Kind: "lose", Size: d.uniform(0.02, 0.3), Direction: "back"}, {Kind: "reset"}} {
		if !d.withProbability(0.25) {
			continue
		}
		f.At, f.Link = d.faultTime(8), "upstream"
		f.Targets, f.RemoteEndpoints = d.pickNames("s", d.scenario.Fleet.Sidecars, 0.6), d.pickNames("e", d.scenario.Endpoints[0].Count, 0.5)
		if f.Kind != "reset" {
			f.Duration = d.uniform(0.3, 3)
		}
		d.addFault(f)
	}
	if d.withProbability(0.3) {
		d.addFault(scenario.Fault{Kind: []string{"cut", "silent"}[d.IntN(2)], Link: "list", At: d.faultTime(6), Duration: d.uniform(0.5, 3), Targets: d.pickNames("s", d.scenario.Fleet.Sidecars, 0.5)})
	}
}
