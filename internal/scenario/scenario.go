// Package scenario reads scenario files. A scenario is one TOML file that describes a fleet, its endpoints, its load
// and its faults over time. The parser is strict: it refuses unknown keys, invalid values and faults that would have no
// effect, with file, line and key. The package does not run scenarios.
package scenario

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
)

// Scenario is one run: the fleet, its endpoints, its load and its faults. Keys that end in _s are in seconds, keys that
// end in _ms in milliseconds; the fields have the units of their keys. Defaults are set by applyDefaults.
type Scenario struct {
	Title string `toml:"title"`
	Seed  uint64 `toml:"seed"`
	// Length is the time during which exchanges arrive. Exchanges that are open at its end are waited for.
	Length float64 `toml:"length_s"`
	// Phases are the bounds of the parts that tables list separately. By default there is one part.
	Phases    []float64 `toml:"phases_s"`
	Fleet     Fleet     `toml:"fleet"`
	Endpoints []Group   `toml:"endpoints"`
	Products  []Product `toml:"products"`
	Faults    []Fault   `toml:"faults"`
	path      string
}

// Fleet describes the sidecars and the load from their clients.
type Fleet struct {
	Sidecars int `toml:"sidecars"`
	// Rate is the number of exchanges per second and sidecar, averaged over all sidecars.
	Rate float64 `toml:"rate"`
	// HeavyShare is the share of sidecars with a higher load than the others.
	HeavyShare float64 `toml:"heavy"`
	// HeavyFactor is the load of a heavy sidecar as a multiple of the load of any other.
	HeavyFactor float64  `toml:"heavy_times"`
	Zones       []string `toml:"zones"`
	// Cores, MemoryMB and Sockets are the limits of each sidecar. The default of Cores is 1.
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	// MaxLegs is the limit of legs of one exchange.
	MaxLegs int `toml:"max_legs"`
	// ExtraFree and ExtraRatio are the budget of legs beyond the first of each exchange: within BudgetWindow, ExtraFree
	// legs and ExtraRatio legs for each exchange that was accepted.
	ExtraFree  float64 `toml:"extra_free"`
	ExtraRatio float64 `toml:"extra_ratio"`
	// BudgetWindow is the window of the budget; 0 for no budget.
	BudgetWindow float64 `toml:"look_back_s"`
	// CrossZonePrice is the price of a leg to another zone.
	CrossZonePrice float64 `toml:"cross_zone_price"`
	// AskWithin is the time after which the sidecars are assumed to be notified of a change of the list; 4 by default.
	AskWithin float64 `toml:"ask_within_s"`
	// DrainGrace is the time after the notification of a drain during which new legs may still begin; 1000 by default.
	DrainGrace float64 `toml:"drain_grace_ms,omitempty"`
	// HealthyShare is the share of requests that must be served in time while endpoints, links and cores are healthy; 0
	// for no requirement.
	HealthyShare float64 `toml:"sound_share"`
}

// Group is a group of endpoints of the same kind.
type Group struct {
	Name  string `toml:"name"`
	Count int    `toml:"count"`
	// Cores is the number of cores of each endpoint; 1 by default.
	Cores int `toml:"cores"`
	// Speeds are the speeds of the cores, assigned to the endpoints in turn; 1 by default.
	Speeds []float64 `toml:"speeds"`
	// Slots is the number of requests that an endpoint processes at once; the number of cores by default.
	Slots int `toml:"slots"`
	// QueueSize is the number of requests that may wait at an endpoint; 32 by default.
	QueueSize int `toml:"room"`
	// ColdFrom is the share of its capacity with which an endpoint starts; it reaches full capacity after ColdPeriod.
	ColdFrom   float64 `toml:"cold_from"`
	ColdPeriod float64 `toml:"cold_s"`
	// PauseInterval is the mean time between two pauses of an endpoint, PauseLength the duration of a pause.
	PauseInterval float64 `toml:"pause_every_s"`
	PauseLength   float64 `toml:"pause_ms"`
	// ErrorShare is the share of requests that end with an error.
	ErrorShare float64 `toml:"errors"`
	// OverloadAt is the number of requests held at once from which an endpoint is slower by the factor OverloadSlowdown,
	// until it has been without requests for RecoveryTime; 0 for never.
	OverloadAt       int     `toml:"crowd_at"`
	OverloadSlowdown float64 `toml:"crowd_slow"`
	RecoveryTime     float64 `toml:"rest_s"`
	// FallMultiple is the limit above which a cold endpoint crashes: the work that it is sent within FallWindow, as a
	// multiple of the work that it can do in this time; 0 for never.
	FallMultiple float64 `toml:"fall_multiple"`
	FallWindow   float64 `toml:"fall_s"`
	// FallSlack adds to this limit the allowance for random bursts that the operators' rule for cold endpoints has.
	FallSlack bool `toml:"fall_slack"`
	// DownTime is the time from such a crash to the restart.
	DownTime       float64 `toml:"down_s"`
	MaxConnections int     `toml:"connections"`
	// HandshakeWork is added to the work of the first exchange on a connection.
	HandshakeWork float64 `toml:"handshake_ms"`
}

// Product is a kind of exchange.
type Product struct {
	Name string `toml:"name"`
	// Effect is replayable, referenced or single-use.
	Effect string `toml:"effect"`
	// Share is the product's share of the exchanges, relative to the sum of all shares.
	Share float64 `toml:"share"`
	// ExpectedTime is the time within which users expect the answer.
	ExpectedTime float64 `toml:"expected_ms"`
	// AbandonTime is the time after which clients abandon the exchange.
	AbandonTime float64 `toml:"abandon_ms"`
	// Work is the mean work of an exchange.
	Work float64 `toml:"work_ms"`
	// Distribution is the distribution of the work: exponential or fixed.
	Distribution string `toml:"dist"`
}

// Fault is an injected fault or an operation, such as a drain or a restart.
type Fault struct {
	At float64 `toml:"at_s"`
	// Duration is 0 for faults that have no duration, such as a restart.
	Duration float64 `toml:"for_s"`
	// Kind is a key of faultSpecs.
	Kind string `toml:"what"`
	// Targets are names or patterns of endpoints or sidecars: e3, e*, s0, s*, zone:a.
	Targets []string `toml:"who"`
	// Share is the share of the targets that is chosen, by the seed; 0 for all.
	Share float64 `toml:"share"`
	// RemoteEndpoints are, for a fault of a link, the endpoints at the other end of the link, and for maint the
	// endpoints that are drained.
	RemoteEndpoints []string `toml:"to"`
	// Link is the kind of the link, for a fault of a link: upstream, list, clients or consoles.
	Link string `toml:"over"`
	// Direction is the direction that a fault of a link affects: there or back; both if absent.
	Direction string `toml:"way"`
	// Size is the severity of the fault; its unit and range depend on the kind (see faultSpecs).
	Size float64 `toml:"size"`
	// Stagger is the time between the beginnings of the fault at two successive targets.
	Stagger float64 `toml:"step_s"`
}

// faultSpecs are the kinds of faults with their constraints.
var faultSpecs = map[string]struct {
	// target is what the fault affects: e (endpoints), s (sidecars), l (links of sidecars), d (discovery), h (the
	// drains that operators request by hand at a sidecar).
	target byte
	// lasts is true if the fault needs a duration.
	lasts bool
	// minSize and maxSize are the range of the size; both are 0 for a fault that has no size.
	minSize, maxSize float64
	// sizeUnit is the unit or meaning of the size, for error messages.
	sizeUnit string
}{
	"slow":          {'e', true, 1.01, 1000, "times slower"},
	"hang":          {'e', true, 0, 0, ""},
	"errors":        {'e', true, 0.001, 1, "share of requests that fail"},
	"crash":         {'e', true, 0, 0, ""},
	"drain":         {'e', false, 0, 0, ""},
	"replace":       {'e', false, 0, 0, ""},
	"kill":          {'s', true, 0, 0, ""},
	"restart":       {'s', false, 0, 0, ""},
	"stop":          {'s', true, 0, 0, ""},
	"reload":        {'s', false, 0, 0, ""},
	"upgrade":       {'s', false, 0, 0, ""},
	"upgrade-fails": {'s', true, 0, 0, ""},
	"leave":         {'s', true, 1, 60000, "ms that clients wait at most"},
	"cut":           {'l', true, 0, 0, ""},
	"silent":        {'l', true, 0, 0, ""},
	"delay":         {'l', true, 0.1, 60000, "ms in one direction"},
	"jitter":        {'l', true, 0.1, 60000, "ms at most"},
	"limit":         {'l', true, 1, 1e9, "bytes per second"},
	"reset":         {'l', false, 0, 0, ""},
	"lose":          {'l', true, 0.001, 1, "share of answers"},
	"list-off":      {'d', true, 0, 0, ""},
	"list-late":     {'d', true, 0.01, 600, "s"},
	"list-busy":     {'d', true, 0.05, 600, "s of work for one call from each sidecar, in total"},
	"list-ends":     {'d', true, 0.001, 60, "s at most from a change to the end of a watch"},
	"list-mute":     {'d', true, 0.01, 1, "share of watches"},
	"list-silent":   {'d', true, 0.01, 1, "share of watches"},
	"crowd":         {'s', true, 1, 5000, "connections to each sidecar"},
	"crowd-heads":   {'s', true, 1, 5000, "connections to each sidecar"},
	"crowd-drip":    {'s', true, 1, 5000, "connections to each sidecar"},
	"crowd-kept":    {'s', true, 1, 5000, "connections to each sidecar"},
	"list-spoil":    {'d', false, 1, 10, "calls from each sidecar that fail"},
	"move":          {'s', false, 0, 0, ""},
	"maint":         {'h', true, 0, 0, ""},
}

// End returns the time at which the fault ends, in seconds from the start. It does not include Stagger.
func (f *Fault) End() float64 { return f.At + f.Duration }

// IsLinkFault reports whether the fault affects links.
func (f *Fault) IsLinkFault() bool { return faultSpecs[f.Kind].target == 'l' }

// FileError is an error in a scenario file.
type FileError struct {
	Path, Key, Message string
	Line               int
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Key, e.Message)
}

// Read parses and validates a scenario file.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a scenario file. The path is used in error messages only.
func Parse(path string, text []byte) (*Scenario, error) {
	s := &Scenario{path: path}
	in := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	var strict *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch err := in.Decode(s); {
	case errors.As(err, &strict):
		row, _ := strict.Errors[0].Position()
		return nil, &FileError{path, strings.Join(strict.Errors[0].Key(), "."), "no such key", row}
	case errors.As(err, &decodeError):
		row, _ := decodeError.Position()
		return nil, &FileError{path, strings.Join(decodeError.Key(), "."), strings.TrimPrefix(decodeError.Error(), "toml: "), row}
	case err != nil:
		return nil, &FileError{path, "-", err.Error(), 1}
	}
	s.applyDefaults()
	if key, message := s.validate(); key != "" {
		return nil, &FileError{path, key, message, lineOf(text, key)}
	}
	return s, nil
}

func setDefault[T comparable](field *T, value T) {
	if *field == *new(T) {
		*field = value
	}
}

// applyDefaults sets the fields that the file leaves out.
func (s *Scenario) applyDefaults() {
	f := &s.Fleet
	setDefault(&s.Seed, 1)
	setDefault(&f.HeavyFactor, 1)
	setDefault(&f.Cores, 1)
	setDefault(&f.MemoryMB, 192)
	setDefault(&f.Sockets, 512)
	setDefault(&f.MaxLegs, 3)
	setDefault(&f.AskWithin, 4)
	setDefault(&f.DrainGrace, 1000)
	if len(s.Phases) == 0 {
		s.Phases = []float64{0, s.Length}
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	for n := range s.Endpoints {
		g := &s.Endpoints[n]
		setDefault(&g.Cores, 1)
		setDefault(&g.Slots, g.Cores)
		setDefault(&g.QueueSize, 32)
		setDefault(&g.ColdFrom, 1)
		setDefault(&g.OverloadSlowdown, 2)
		setDefault(&g.RecoveryTime, 2)
		setDefault(&g.FallWindow, 2)
		setDefault(&g.DownTime, 3)
		setDefault(&g.MaxConnections, 1000)
		if len(g.Speeds) == 0 {
			g.Speeds = []float64{1}
		}
	}
	for n := range s.Products {
		setDefault(&s.Products[n].Distribution, "exponential")
		setDefault(&s.Products[n].Share, 1)
	}
}

// validate returns the key of the first error that it finds and what is wrong with it. The key is empty if the scenario
// is valid.
func (s *Scenario) validate() (key, message string) {
	fail := func(at, text string, args ...any) { // only the first error is kept
		if key == "" {
			key, message = at, fmt.Sprintf(text, args...)
		}
	}
	within := func(at string, v, least, most float64) {
		if !(v >= least && v <= most) {
			fail(at, "%g is not from %g to %g", v, least, most)
		}
	}
	within("length_s", s.Length, 0.5, 86400)
	for n, at := range s.Phases {
		if within("phases_s", at, 0, s.Length); len(s.Phases) < 2 || n > 0 && at <= s.Phases[n-1] {
			fail("phases_s", "at least two times in ascending order are needed")
		}
	}
	f := &s.Fleet
	within("fleet.sidecars", float64(f.Sidecars), 1, 2000)
	within("fleet.rate", f.Rate, 0.001, 1e5)
	within("fleet.heavy", f.HeavyShare, 0, 1)
	within("fleet.heavy_times", f.HeavyFactor, 1, 1000)
	within("fleet.cores", f.Cores, 0.1, 64)
	within("fleet.memory_mb", float64(f.MemoryMB), 32, 1<<16)
	within("fleet.sockets", float64(f.Sockets), 96, 1e6)
	within("fleet.max_legs", float64(f.MaxLegs), 1, 100)
	within("fleet.look_back_s", f.BudgetWindow, 0, 600)
	within("fleet.ask_within_s", f.AskWithin, 0.5, 600)
	within("fleet.drain_grace_ms", f.DrainGrace, 1, 60000)
	within("fleet.sound_share", f.HealthyShare, 0, 1)
	if len(s.Endpoints) == 0 {
		fail("endpoints", "at least one group of endpoints is needed")
	}
	names, total := map[string]bool{}, 0
	for n := range s.Endpoints {
		g, prefix := &s.Endpoints[n], fmt.Sprintf("endpoints[%d].", n)
		if g.Name == "" || strings.ContainsAny(g.Name, "*:/ ") || strings.ContainsAny(g.Name[len(g.Name)-1:], "0123456789") || g.Name == "s" || names[g.Name] {
			fail(prefix+"name", "%q is not a valid name: it must be unique, not be empty or s, not end with a digit, and not contain *, :, / or a space", g.Name)
		}
		names[g.Name] = true
		total += g.Count
		within(prefix+"count", float64(g.Count), 1, 10000)
		within(prefix+"cores", float64(g.Cores), 1, 256)
		within(prefix+"slots", float64(g.Slots), 1, 10000)
		within(prefix+"room", float64(g.QueueSize), 0, 1e6)
		within(prefix+"cold_from", g.ColdFrom, 0.01, 1)
		within(prefix+"cold_s", g.ColdPeriod, 0, 3600)
		within(prefix+"pause_every_s", g.PauseInterval, 0, 3600)
		within(prefix+"pause_ms", g.PauseLength, 0, 60000)
		within(prefix+"errors", g.ErrorShare, 0, 1)
		within(prefix+"crowd_slow", g.OverloadSlowdown, 1, 1000)
		within(prefix+"fall_multiple", g.FallMultiple, 0, 1000)
		within(prefix+"fall_s", g.FallWindow, 0.01, 600)
		within(prefix+"connections", float64(g.MaxConnections), 1, 1e6)
		within(prefix+"handshake_ms", g.HandshakeWork, 0, 60000)
		for _, v := range g.Speeds {
			within(prefix+"speeds", v, 0.01, 100)
		}
	}
	within("endpoints", float64(total), 1, 10000)
	if len(s.Products) == 0 {
		fail("products", "at least one product is needed")
	}
	products := map[string]bool{}
	for n := range s.Products {
		p, prefix := &s.Products[n], fmt.Sprintf("products[%d].", n)
		if p.Name == "" || strings.ContainsAny(p.Name, "/ ?") || products[p.Name] {
			fail(prefix+"name", "%q is not a valid name: it must be unique, not be empty, and not contain /, ? or a space", p.Name)
		}
		products[p.Name] = true
		if !slices.Contains([]string{"replayable", "referenced", "single-use"}, p.Effect) {
			fail(prefix+"effect", "%q is none of replayable, referenced, single-use", p.Effect)
		}
		if !slices.Contains([]string{"exponential", "fixed"}, p.Distribution) {
			fail(prefix+"dist", "%q is neither exponential nor fixed", p.Distribution)
		}
		within(prefix+"share", p.Share, 0.0001, 1e6)
		within(prefix+"expected_ms", p.ExpectedTime, 1, 1e6)
		within(prefix+"abandon_ms", p.AbandonTime, p.ExpectedTime, 1e6)
		within(prefix+"work_ms", p.Work, 0.001, 1e6)
	}
	for n := range s.Faults {
		if key != "" {
			break
		}
		s.validateFault(&s.Faults[n], fmt.Sprintf("faults[%d].", n), fail, within)
	}
	return key, message
}

// validateFault calls fail for each error in a fault. The prefix is the fault's part of the key.
func (s *Scenario) validateFault(f *Fault, prefix string, fail func(string, string, ...any), within func(string, float64, float64, float64)) {
	spec, ok := faultSpecs[f.Kind]
	if !ok {
		fail(prefix+"what", "there is no %q fault", f.Kind)
		return
	}
	within(prefix+"at_s", f.At, 0, s.Length)
	within(prefix+"share", f.Share, 0, 1)
	within(prefix+"step_s", f.Stagger, 0, s.Length)
	if f.End() > s.Length {
		fail(prefix+"for_s", "it would end at %g s, after the end at %g s", f.End(), s.Length)
	}
	if spec.lasts && f.Duration <= 0 {
		fail(prefix+"for_s", "%s needs a duration", f.Kind)
	} else if !spec.lasts && f.Duration != 0 {
		fail(prefix+"for_s", "%s is done once and has no duration", f.Kind)
	}
	if spec.maxSize > 0 && !(f.Size >= spec.minSize && f.Size <= spec.maxSize) {
		fail(prefix+"size", "%g is not from %g to %g (%s)", f.Size, spec.minSize, spec.maxSize, spec.sizeUnit)
	} else if spec.maxSize == 0 && f.Size != 0 {
		fail(prefix+"size", "%s has no size", f.Kind)
	}
	if spec.target == 'l' && !slices.Contains([]string{"upstream", "list", "clients", "consoles"}, f.Link) {
		fail(prefix+"over", "%q is none of upstream, list, clients, consoles", f.Link)
	}
	if f.Link != "" && spec.target != 'l' {
		fail(prefix+"over", "%s is not a fault of a link", f.Kind)
	}
	if !slices.Contains([]string{"", "there", "back"}, f.Direction) || f.Direction != "" && spec.target != 'l' {
		fail(prefix+"way", "%q is neither there nor back, or %s is not a fault of a link", f.Direction, f.Kind)
	}
	if len(f.RemoteEndpoints) > 0 && f.Link != "upstream" && spec.target != 'h' {
		fail(prefix+"to", "only faults of upstream links and maint have remote endpoints")
	}
	targetKind := "sidecars"
	switch spec.target {
	case 'e':
		targetKind = "endpoints"
	case 'd':
		if len(f.Targets) > 0 {
			fail(prefix+"who", "faults of the list service have no targets")
		}
		return
	case 'l':
		if f.Kind == "lose" && f.Direction == "there" {
			fail(prefix+"way", "answers can only be lost in the direction back")
		}
	case 'h':
		if len(f.RemoteEndpoints) == 0 {
			fail(prefix+"to", "maint needs the endpoints to drain")
		}
	}
	for key, list := range map[string][]string{"who": f.Targets, "to": f.RemoteEndpoints} {
		for _, pattern := range list {
			if expected := targetKind; len(s.matching(pattern, expected == "endpoints" || key == "to")) == 0 {
				if key == "to" {
					expected = "endpoints"
				}
				fail(prefix+key, "%q names none of the %s", pattern, expected)
			}
		}
	}
	if len(f.Targets) == 0 {
		fail(prefix+"who", "no target is given")
	}
}

// Node is one endpoint or sidecar of a scenario.
type Node struct {
	Name, Zone   string
	Number       int // index among all endpoints, or among all sidecars
	GroupIndex   int // index of an endpoint's group
	IndexInGroup int // index of an endpoint in its group
}

// EndpointNodes returns all endpoints in order. They are assigned to the zones in turn.
func (s *Scenario) EndpointNodes() (all []Node) {
	for g := range s.Endpoints {
		for n := range s.Endpoints[g].Count {
			all = append(all, Node{fmt.Sprint(s.Endpoints[g].Name, n), s.Fleet.Zones[len(all)%len(s.Fleet.Zones)], len(all), g, n})
		}
	}
	return all
}

// SidecarNodes returns all sidecars in order. They are assigned to the zones in turn.
func (s *Scenario) SidecarNodes() (all []Node) {
	for n := range s.Fleet.Sidecars {
		all = append(all, Node{Name: fmt.Sprint("s", n), Zone: s.Fleet.Zones[n%len(s.Fleet.Zones)], Number: n})
	}
	return all
}

// matching returns the endpoints or sidecars that a pattern selects: a name, a stem followed by * (e*), or zone:NAME.
func (s *Scenario) matching(pattern string, endpoints bool) (found []Node) {
	all := s.SidecarNodes()
	if endpoints {
		all = s.EndpointNodes()
	}
	for _, p := range all {
		zone, byZone := strings.CutPrefix(pattern, "zone:")
		stem, many := strings.CutSuffix(pattern, "*")
		if byZone && p.Zone == zone || many && strings.TrimRight(p.Name, "0123456789") == stem || p.Name == pattern {
			found = append(found, p)
		}
	}
	return found
}

// FaultTargets returns the nodes that fault n affects, and the endpoints at the other end of the affected links or, for
// maint, the endpoints to drain. The choice of a share of the targets follows from the seed.
func (s *Scenario) FaultTargets(n int) (targets, remote []Node) {
	f := &s.Faults[n]
	onEndpoints := faultSpecs[f.Kind].target == 'e'
	gather := func(list []string, endpoints bool) (all []Node) {
		for _, pattern := range list {
			for _, p := range s.matching(pattern, endpoints) {
				if !slices.Contains(all, p) {
					all = append(all, p)
				}
			}
		}
		return all
	}
	targets = gather(f.Targets, onEndpoints)
	if f.Share > 0 {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(n)+77))
		rng.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
		targets = targets[:max(1, int(f.Share*float64(len(targets))+0.5))]
		slices.SortFunc(targets, func(a, b Node) int { return a.Number - b.Number })
	}
	if remote = gather(f.RemoteEndpoints, true); len(remote) == 0 && f.Link == "upstream" {
		remote = s.EndpointNodes()
	}
	return targets, remote
}

// EmulatorKind returns the parameters of an endpoint for the emulator.
func (s *Scenario) EmulatorKind(p Node) emulator.Kind {
	g := &s.Endpoints[p.GroupIndex]
	k := emulator.Kind{Slots: g.Slots, QueueLimit: g.QueueSize, ColdShare: g.ColdFrom, WarmUpMs: g.ColdPeriod * 1000, PauseIntervalMs: g.PauseInterval * 1000,
		PauseMs: g.PauseLength, ErrorShare: g.ErrorShare, OverloadAt: g.OverloadAt, OverloadSlowdown: g.OverloadSlowdown, RecoveryIdleMs: g.RecoveryTime * 1000, CollapseRatio: g.FallMultiple,
		CollapseWindowMs: g.FallWindow * 1000, DownMs: g.DownTime * 1000}
	if g.FallSlack {
		k.MeanWorkMs = s.meanWork()
	}
	for range g.Cores {
		k.CoreSpeeds = append(k.CoreSpeeds, g.Speeds[p.IndexInGroup%len(g.Speeds)])
	}
	return k
}

// meanWork returns the mean work of an exchange over all products, weighted by their shares, in milliseconds.
func (s *Scenario) meanWork() (mean float64) {
	shares := 0.0
	for _, p := range s.Products {
		mean += p.Share * p.Work
		shares += p.Share
	}
	if shares > 0 {
		mean /= shares
	}
	return mean
}

// Arrival is one exchange that a client requests.
type Arrival struct {
	At      float64 // milliseconds from the start
	Sidecar int
	Product int
	Work    float64 // milliseconds
	ID      string
}

// Arrivals returns all exchanges in order of time. They are drawn in advance, so that the outcome of one exchange never
// changes the others.
func (s *Scenario) Arrivals() (all []Arrival) {
	heavyCount := int(s.Fleet.HeavyShare*float64(s.Fleet.Sidecars) + 0.5)
	lightRate := s.Fleet.Rate * float64(s.Fleet.Sidecars) / (float64(s.Fleet.Sidecars-heavyCount) + float64(heavyCount)*s.Fleet.HeavyFactor)
	shares := 0.0
	for _, p := range s.Products {
		shares += p.Share
	}
	for n := range s.Fleet.Sidecars {
		rng, rate := rand.New(rand.NewPCG(s.Seed, uint64(n)+1)), lightRate
		if n < heavyCount {
			rate *= s.Fleet.HeavyFactor
		}
		for at, k := 0.0, 0; ; k++ {
			if at += rng.ExpFloat64() / rate * 1000; at >= s.Length*1000 {
				break
			}
			product, draw := 0, rng.Float64()*shares
			for draw -= s.Products[product].Share; draw > 0 && product < len(s.Products)-1; draw -= s.Products[product].Share {
				product++
			}
			work := s.Products[product].Work
			if s.Products[product].Distribution == "exponential" {
				work *= rng.ExpFloat64()
			}
			all = append(all, Arrival{at, n, product, work, fmt.Sprintf("x%d-%d", n, k)})
		}
	}
	slices.SortFunc(all, func(a, b Arrival) int {
		if a.At != b.At {
			if a.At < b.At {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return all
}

// SeedOf returns the seed of a named component, derived from the scenario's seed.
func (s *Scenario) SeedOf(name string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, s.Seed, name)
	return h.Sum64()
}

// lineOf returns the line of a key such as faults[2].size, or the line of its table if the key is absent.
func lineOf(text []byte, key string) int {
	var p unstable.Parser
	p.Reset(text)
	prefix, counts, best, table := "", map[string]int{}, 1, ""
	for p.NextExpression() {
		e := p.Expression()
		name, row := "", 0
		for it := e.Key(); it.Next(); {
			if name != "" {
				name += "."
			}
			name += string(it.Node().Data)
			row = p.Shape(it.Node().Raw).Start.Line
		}
		switch e.Kind {
		case unstable.Table:
			prefix, table = name+".", name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			prefix = table + "."
			counts[name]++
		case unstable.KeyValue:
			if prefix+name == key {
				return row
			}
			continue
		}
		if strings.HasPrefix(key, table+".") || key == table {
			best = row
		}
	}
	return best
}
