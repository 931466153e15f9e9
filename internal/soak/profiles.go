package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// minServedShare is the share of requests that a sidecar must serve in time while its endpoints, links and cores are
// healthy, in profiles that also judge service.
const minServedShare = 0.95

// General is the profile of Draw: all kinds of faults, with no rule on the share of requests served in time.
const General = "general"

// profiles maps the names of profiles to the functions that draw their faults. Each covers one kind of fault; endpoints
// and links stay healthy, so that service can be judged throughout.
var profiles = map[string]func(d *generator){"crowds": (*generator).connectionFloods, "handovers": (*generator).handovers, "lists": (*generator).listChanges}

// Profiles returns the names of the profiles that DrawProfile accepts.
func Profiles() []string { return append([]string{General}, slices.Sorted(maps.Keys(profiles))...) }

// profileSeedStream is the second word of the random seed in profiles, so that they draw other values than Draw.
const profileSeedStream = 58

// DrawProfile generates the scenario of a seed in a profile.
func DrawProfile(profile string, seed uint64, large bool) (*scenario.Scenario, error) {
	if profile == General || profile == "" {
		return Draw(seed, large)
	}
	drawFaults, known := profiles[profile]
	if !known {
		return nil, fmt.Errorf("no profile %q; there are %v", profile, Profiles())
	}
	d := &generator{Rand: rand.New(rand.NewPCG(seed, profileSeedStream))}
	d.scenario = scenario.Scenario{Title: fmt.Sprintf("soak, %s, seed %d", profile, seed), Seed: seed, Length: lengthSeconds, Phases: []float64{0, lengthSeconds}}
	d.drawFleet(large)
	d.drawProducts()
	count := minEndpoints + d.IntN(maxEndpoints-minEndpoints+1)
	d.scenario.Endpoints = []scenario.Group{{Name: "e", Count: count, Cores: 2, Slots: 4, QueueSize: 100, MaxConnections: 2000}}
	order := d.Perm(count)
	drainCount := 1 + d.IntN(3)
	d.drainingEndpoints, d.stayingEndpoints = order[:drainCount], order[drainCount:]
	d.scenario.Fleet.HealthyShare = minServedShare
	drawFaults(d)
	text, err := Text(&d.scenario)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(fmt.Sprintf("%s-%d.toml", profile, seed), text)
}

// Sizes of connection floods, relative to the limit on descriptors of a sidecar.
const (
	minFloodRatio = 0.5
	maxFloodRatio = 4.0
)

// connectionFloods fills the descriptors of one or two sidecars with idle clients of some kind, once or twice, and adds
// handovers, configuration reloads and discovery faults.
func (d *generator) connectionFloods() {
	d.scenario.Fleet.Sockets = []int{192, floodSocketLimit, 2 * floodSocketLimit}[d.IntN(3)]
	who := d.pickNames("s", min(d.scenario.Fleet.Sidecars, 3), 1)
	who = who[:min(len(who), 2)]
	for range 1 + d.IntN(2) {
		d.addFault(scenario.Fault{Kind: []string{"crowd", "crowd-heads", "crowd-drip"}[d.IntN(3)], At: d.faultTime(6), Duration: d.uniform(2, 6), Targets: who,
			Size: float64(int(float64(d.scenario.Fleet.Sockets) * d.uniform(minFloodRatio, maxFloodRatio)))})
	}
	if d.withProbability(0.4) {
		d.addFault(scenario.Fault{Kind: "upgrade", At: d.faultTime(6), Targets: who[:1]})
	}
	if d.withProbability(0.3) {
		d.addFault(scenario.Fault{Kind: "reload", At: d.faultTime(lastFaultSeconds), Targets: []string{"s*"}, Stagger: 0.05})
	}
	if d.withProbability(0.5) {
		d.discoveryFaults()
	}
}

// handovers replaces processes during discovery faults: once, twice in succession, with a new process that dies before
// it has received a list, with configuration reloads, or with discovery answers so slow that the new process accepts
// clients before it has received its own list.
func (d *generator) handovers() {
	if d.withProbability(0.4) {
		d.slowDiscovery()
		return
	}
	const secondUpgradeDelay = 6.5 // seconds until a second handover; the first has completed by then
	upgradeCount := 1 + d.IntN(min(3, d.scenario.Fleet.Sidecars))
	for _, n := range d.Perm(d.scenario.Fleet.Sidecars)[:upgradeCount] {
		f := scenario.Fault{Kind: "upgrade", At: d.uniform(0.5, 4), Targets: []string{fmt.Sprint("s", n)}}
		switch d.IntN(3) {
		case 0:
			f.Kind, f.Duration = "upgrade-fails", d.uniform(0.2, 6)
		case 1:
			d.addFault(scenario.Fault{Kind: "upgrade", At: roundToHundredth(f.At + secondUpgradeDelay + d.uniform(0, 1.5)), Targets: f.Targets})
		}
		d.addFault(f)
	}
	if d.withProbability(0.5) {
		d.busyDiscovery()
		d.fitDiscoveryRound()
	} else {
		d.discoveryFaults()
	}
	if d.withProbability(0.4) {
		d.reloadSeries()
	}
	if d.withProbability(0.3) {
		d.addFault(scenario.Fault{Kind: "list-late", At: 0.5, Duration: 12, Size: d.uniform(0.1, 1.5)})
	}
}

// fitDiscoveryRound scales the work of a discovery call down, so that discovery also has capacity for the calls of new
// processes. Otherwise the calls of all processes would not fit into the time within which sidecars must be notified of a
// change.
func (d *generator) fitDiscoveryRound() {
	sidecars := float64(d.scenario.Fleet.Sidecars)
	calls := sidecars
	for _, f := range d.scenario.Faults {
		if f.Kind == "upgrade" || f.Kind == "upgrade-fails" {
			calls++
		}
	}
	for n := range d.scenario.Faults {
		if f := &d.scenario.Faults[n]; f.Kind == "list-busy" {
			f.Size = roundToHundredth(f.Size * sidecars / calls)
		}
	}
}

// slowDiscovery has discovery take a few seconds per call, so that at least one of two new processes receives its list
// after it accepts the clients. All other watches are open and stay open, and endpoints drain while the predecessors of
// the new processes are still notified of it.
func (d *generator) slowDiscovery() {
	const (
		watchesOpenAt = 2.5 // seconds until every first call is answered: sidecars spread these calls over 2 s
		lastDrain     = 5.5 // seconds after watchesOpenAt; drains begin at least 0.5 s earlier
	)
	answerSeconds := d.uniform(3, 4)
	d.addFault(scenario.Fault{Kind: "list-busy", At: watchesOpenAt, Duration: lengthSeconds - watchesOpenAt - 0.5, Size: roundToHundredth(answerSeconds * float64(d.scenario.Fleet.Sidecars))})
	for _, n := range d.Perm(d.scenario.Fleet.Sidecars)[:2] {
		d.addFault(scenario.Fault{Kind: "upgrade", At: roundToHundredth(watchesOpenAt + d.uniform(0.2, 0.9)), Targets: []string{fmt.Sprint("s", n)}})
	}
	for _, n := range d.drainingEndpoints {
		d.addFault(scenario.Fault{Kind: "drain", At: roundToHundredth(watchesOpenAt + d.uniform(1.3, lastDrain-0.5)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

// Sizes of the scenarios of listChanges. Each sidecar must send often enough that a late leg shows within some tens of
// milliseconds after the grace.
const (
	minListSidecars       = 12
	maxListSidecars       = 40
	listRequestsPerSecond = 15.0  // of each sidecar
	listWorkMs            = 4.0   // of each request
	listDrainGraceMs      = 500.0 // later legs to a draining endpoint break the rule
	maxFaultyAnswers      = 8     // consecutive
)

// listChanges has endpoints drain one after another while discovery has little spare capacity and ends watches instead
// of sending the change. It adds consecutive faulty answers, an outage, switches of discovery's address and handovers.
func (d *generator) listChanges() {
	f := &d.scenario.Fleet
	if f.Sidecars <= maxSidecars {
		f.Sidecars = minListSidecars + d.IntN(maxListSidecars-minListSidecars+1)
	}
	f.Rate, f.DrainGrace = listRequestsPerSecond, listDrainGraceMs
	for n := range d.scenario.Products {
		d.scenario.Products[n].Work = listWorkMs
	}
	g := &d.scenario.Endpoints[0]
	g.Count = maxEndpoints
	d.addFault(scenario.Fault{Kind: "list-busy", Duration: lengthSeconds - 0.5, Size: d.uniform(1.5, 3)})
	d.addFault(scenario.Fault{Kind: "list-ends", Duration: lengthSeconds - 0.5, Size: d.uniform(0.1, 2.5)})
	d.drainSequence(g.Count)
	if faultyAnswers := d.IntN(maxFaultyAnswers + 1); faultyAnswers > 0 {
		d.addFault(scenario.Fault{Kind: "list-spoil", At: d.faultTime(8), Size: float64(faultyAnswers)})
	}
	if d.withProbability(0.4) {
		d.addFault(scenario.Fault{Kind: "list-off", At: d.faultTime(6), Duration: d.uniform(0.2, 4)})
	}
	if d.withProbability(0.4) {
		at, who := d.faultTime(8), d.pickNames("s", f.Sidecars, 1)
		for n := range 1 + d.IntN(3) {
			d.addFault(scenario.Fault{Kind: "move", At: roundToHundredth(at + float64(n)*d.uniform(0.3, 1.5)), Targets: who, Stagger: 0.02})
		}
	}
	if d.withProbability(0.4) {
		d.addFault(scenario.Fault{Kind: "upgrade", At: d.faultTime(6), Targets: d.pickNames("s", 3, 1), Stagger: 0.1})
	}
}

// drainSequence drains or replaces three to eight endpoints, at intervals of 0.25 to 2 s.
func (d *generator) drainSequence(endpoints int) {
	at, order := d.uniform(1.5, 3), d.Perm(endpoints)
	for _, n := range order[:3+d.IntN(6)] {
		if at > lastFaultSeconds {
			return
		}
		d.addFault(scenario.Fault{Kind: []string{"drain", "replace"}[d.IntN(2)], At: at, Targets: []string{fmt.Sprint("e", n)}})
		at = roundToHundredth(at + d.uniform(0.25, 2))
	}
}
