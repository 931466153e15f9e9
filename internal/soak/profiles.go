package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// soundShare is the share of requests that a sidecar serves in time while its endpoints, links and cores are sound, in profiles that judge
// service too.
const soundShare = 0.95

// General is the profile of Draw: every kind of fault, judged by rules alone.
const General = "general"

// profiles draw what one kind of trouble leaves of service. Endpoints and links stay sound in them, so that service is judged throughout.
var profiles = map[string]func(d *drawing){"crowds": (*drawing).crowds, "handovers": (*drawing).handovers, "lists": (*drawing).lists}

// Profiles are the names that DrawProfile knows.
func Profiles() []string { return append([]string{General}, slices.Sorted(maps.Keys(profiles))...) }

// profileStream is the second half of the seeds of profiles, so that they draw otherwise than Draw does.
const profileStream = 58

// DrawProfile is the rehearsal of a seed in a profile.
func DrawProfile(profile string, seed uint64, large bool) (*scenario.Scenario, error) {
	if profile == General || profile == "" {
		return Draw(seed, large)
	}
	trouble, known := profiles[profile]
	if !known {
		return nil, fmt.Errorf("no profile %q; there are %v", profile, Profiles())
	}
	d := &drawing{Rand: rand.New(rand.NewPCG(seed, profileStream))}
	d.s = scenario.Scenario{Title: fmt.Sprintf("soak, %s, seed %d", profile, seed), Seed: seed, Length: lengthSeconds, Phases: []float64{0, lengthSeconds}}
	d.fleet(large)
	d.products()
	count := fewestEndpoints + d.IntN(mostEndpoints-fewestEndpoints+1)
	d.s.Endpoints = []scenario.Group{{Name: "e", Count: count, Cores: 2, Slots: 4, QueueSize: 100, MaxConnections: 2000}}
	order := d.Perm(count)
	drains := 1 + d.IntN(3)
	d.drained, d.staying = order[:drains], order[drains:]
	d.s.Fleet.HealthyShare = soundShare
	trouble(d)
	text, err := Text(&d.s)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(fmt.Sprintf("%s-%d.toml", profile, seed), text)
}

// Crowds of half to four times the descriptors.
const (
	leastCrowd = 0.5
	mostCrowd  = 4.0
)

// crowds fills the descriptors of one sidecar or two, once or twice, with idle clients of each kind, beside hand-overs, new configurations
// and trouble of discovery.
func (d *drawing) crowds() {
	d.s.Fleet.Sockets = []int{192, crowdSockets, 2 * crowdSockets}[d.IntN(3)]
	who := d.some("s", min(d.s.Fleet.Sidecars, 3), 1)
	who = who[:min(len(who), 2)]
	for range 1 + d.IntN(2) {
		d.add(scenario.Fault{Kind: []string{"crowd", "crowd-heads", "crowd-drip"}[d.IntN(3)], At: d.time(6), Duration: d.between(2, 6), Targets: who,
			Size: float64(int(float64(d.s.Fleet.Sockets) * d.between(leastCrowd, mostCrowd)))})
	}
	if d.chance(0.4) {
		d.add(scenario.Fault{Kind: "upgrade", At: d.time(6), Targets: who[:1]})
	}
	if d.chance(0.3) {
		d.add(scenario.Fault{Kind: "reload", At: d.time(lastFaultSeconds), Targets: []string{"s*"}, Stagger: 0.05})
	}
	if d.chance(0.5) {
		d.discoveryFaults()
	}
}

// handovers replaces processes near everything that discovery can do: once, twice in a row, with a new process that dies before it has
// heard, with new configurations, or while each answer of discovery takes so long that the new process takes the clients before its own.
func (d *drawing) handovers() {
	if d.chance(0.4) {
		d.slowAnswers()
		return
	}
	const again = 6.5 // seconds to a second hand-over: the first has its yes by then
	many := 1 + d.IntN(min(3, d.s.Fleet.Sidecars))
	for _, n := range d.Perm(d.s.Fleet.Sidecars)[:many] {
		f := scenario.Fault{Kind: "upgrade", At: d.between(0.5, 4), Targets: []string{fmt.Sprint("s", n)}}
		switch d.IntN(3) {
		case 0:
			f.Kind, f.Duration = "upgrade-fails", d.between(0.2, 6)
		case 1:
			d.add(scenario.Fault{Kind: "upgrade", At: hundredth(f.At + again + d.between(0, 1.5)), Targets: f.Targets})
		}
		d.add(f)
	}
	if d.chance(0.5) {
		d.busyDiscovery()
		d.fitRound()
	} else {
		d.discoveryFaults()
	}
	if d.chance(0.4) {
		d.signalSeries()
	}
	if d.chance(0.3) {
		d.add(scenario.Fault{Kind: "list-late", At: 0.5, Duration: 12, Size: d.between(0.1, 1.5)})
	}
}

// fitRound leaves discovery the capacity for the calls of new processes too: else the work of a round would not fit into the time in which a
// change has to be known.
func (d *drawing) fitRound() {
	sidecars := float64(d.s.Fleet.Sidecars)
	calls := sidecars
	for _, f := range d.s.Faults {
		if f.Kind == "upgrade" || f.Kind == "upgrade-fails" {
			calls++
		}
	}
	for n := range d.s.Faults {
		if f := &d.s.Faults[n]; f.Kind == "list-busy" {
			f.Size = hundredth(f.Size * sidecars / calls)
		}
	}
}

// slowAnswers has discovery take some seconds for each call, so that of two new processes one at least hears its list later than it takes
// the clients. All other watches are open and stay so, and endpoints drain while the processes before these still hear of it.
func (d *drawing) slowAnswers() {
	const (
		watched   = 2.5 // seconds until every first call is answered: sidecars spread them over two
		lastDrain = 5.5
	)
	answer := d.between(3, 4)
	d.add(scenario.Fault{Kind: "list-busy", At: watched, Duration: lengthSeconds - watched - 0.5, Size: hundredth(answer * float64(d.s.Fleet.Sidecars))})
	for _, n := range d.Perm(d.s.Fleet.Sidecars)[:2] {
		d.add(scenario.Fault{Kind: "upgrade", At: hundredth(watched + d.between(0.2, 0.9)), Targets: []string{fmt.Sprint("s", n)}})
	}
	for _, n := range d.drained {
		d.add(scenario.Fault{Kind: "drain", At: hundredth(watched + d.between(1.3, lastDrain-0.5)), Targets: []string{fmt.Sprint("e", n)}})
	}
}

// Sizes of the rehearsals that lists draws. Each sidecar has to send often enough for a leg some tens of milliseconds past the grace.
const (
	fewestListCallers = 12
	mostListCallers   = 40
	listRate          = 15.0  // requests a second of a sidecar
	listWorkMs        = 4.0   // of a request
	listDrainGraceMs  = 500.0 // after which a leg is late
	mostSpoilt        = 8     // answers in a row
)

// lists has endpoints drain one after another before a discovery with little capacity to spare, which ends watches in place of telling, with
// spoilt answers in a row, an outage, new configurations and hand-overs.
func (d *drawing) lists() {
	f := &d.s.Fleet
	if f.Sidecars <= mostSidecars {
		f.Sidecars = fewestListCallers + d.IntN(mostListCallers-fewestListCallers+1)
	}
	f.Rate, f.DrainGrace = listRate, listDrainGraceMs
	for n := range d.s.Products {
		d.s.Products[n].Work = listWorkMs
	}
	g := &d.s.Endpoints[0]
	g.Count = mostEndpoints
	d.add(scenario.Fault{Kind: "list-busy", Duration: lengthSeconds - 0.5, Size: d.between(1.5, 3)})
	d.add(scenario.Fault{Kind: "list-ends", Duration: lengthSeconds - 0.5, Size: d.between(0.1, 2.5)})
	d.drainsInTurn(g.Count)
	if spoilt := d.IntN(mostSpoilt + 1); spoilt > 0 {
		d.add(scenario.Fault{Kind: "list-spoil", At: d.time(8), Size: float64(spoilt)})
	}
	if d.chance(0.4) {
		d.add(scenario.Fault{Kind: "list-off", At: d.time(6), Duration: d.between(0.2, 4)})
	}
	if d.chance(0.4) {
		at, who := d.time(8), d.some("s", f.Sidecars, 1)
		for n := range 1 + d.IntN(3) {
			d.add(scenario.Fault{Kind: "move", At: hundredth(at + float64(n)*d.between(0.3, 1.5)), Targets: who, Stagger: 0.02})
		}
	}
	if d.chance(0.4) {
		d.add(scenario.Fault{Kind: "upgrade", At: d.time(6), Targets: d.some("s", 3, 1), Stagger: 0.1})
	}
}

// drainsInTurn drains or replaces three to eight endpoints, from a quarter of a second to two seconds apart.
func (d *drawing) drainsInTurn(endpoints int) {
	at, order := d.between(1.5, 3), d.Perm(endpoints)
	for _, n := range order[:3+d.IntN(6)] {
		if at > lastFaultSeconds {
			return
		}
		d.add(scenario.Fault{Kind: []string{"drain", "replace"}[d.IntN(2)], At: at, Targets: []string{fmt.Sprint("e", n)}})
		at = hundredth(at + d.between(0.25, 2))
	}
}
