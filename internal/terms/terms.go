// Package terms turns the settings that an instance is given, as JSON, into the module's terms and the names
// by which exchanges and lists refer to them. The simulator's adapter and the sidecar share it. It decides nothing.
package terms

import (
	"slices"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Names maps the settings' names to the module's ids.
type Names struct {
	products map[string]logic.ProductID
	tenants  map[string]logic.TenantID
	zones    map[string]logic.ZoneID
	kinds    map[string]logic.KindID
}

var effectByName = map[string]logic.Effect{"retryable": logic.Retryable, "dedup": logic.Deduplicated}

var groupByName = map[string]logic.Group{"all": logic.AllEndpoints, "zone": logic.OneZone}

// From reads the settings object.
func Parse(settings *fastjson.Value, seed uint64) (logic.Terms, *Names) {
	names := &Names{
		products: map[string]logic.ProductID{}, tenants: map[string]logic.TenantID{}, zones: map[string]logic.ZoneID{}, kinds: map[string]logic.KindID{},
	}
	allowed, guarantees := settings.Get("allowed"), settings.Get("guarantees")
	t := logic.Terms{
		Seed: seed, Fleet: settings.GetInt("fleet-size"), SidecarNumber: sidecarNumber(settings),
		Peers: allowed.GetBool("peers"),
		Zone:  names.Zone(settings.GetStringBytes("locality")), OverShareValue: settings.GetFloat64("overage-value"),
		MaxLegs: allowed.GetInt("max-legs"), MayHedge: allowed.GetBool("second-copies"),
		MayCancel: allowed.GetBool("may-cancel"), ByWork: string(settings.GetStringBytes("value-by")) == "work",
		PullList:  string(settings.GetStringBytes("registry-mode")) != "pushed",
		AskWithin: Millis(guarantees, "ask-within"), ColdPeriod: Millis(guarantees, "cold"), FallWindow: Millis(guarantees, "fall"),
		ColdFrom: guarantees.GetFloat64("cold-from"), FallMultiple: guarantees.GetFloat64("fall-multiple"),
		CrossZonePrice: settings.GetFloat64("prices", "cross-zone"), TimerTick: Millis(settings, "tick"),
		ExtraFree: guarantees.GetFloat64("extra-free"), ExtraRatio: guarantees.GetFloat64("extra-ratio"),
		DrainGrace:   Millis(guarantees, "drain-grace"),
		BudgetWindow: Millis(guarantees, "look-back"), DeadlineSkew: Millis(guarantees, "budget-error"), ReadySkew: Millis(guarantees, "ready-margin"),
		AnswerBuffers: allowed.GetInt("answer-buffers"), WarmKeys: settings.GetBool("domain", "warm-keys"),
		MayProbe: allowed.GetBool("probes"), ReportsLoad: ProbesReportLoad(settings), ProbePrice: settings.GetFloat64("prices", "probe"),
		IdleTimeout: Millis(allowed, "idle-close"),
	}
	if allowed.GetBool("retry-after") {
		t.MaxRetryAfter = Millis(allowed, "max-retry-after")
	}
	for n, p := range settings.GetArray("products") {
		names.products[string(p.GetStringBytes("name"))] = logic.ProductID(n)
		product := logic.Product{
			Effect: effectByName[string(p.GetStringBytes("effect"))], Group: groupByName[string(p.GetStringBytes("dedup-scope"))],
			DedupMemory: Millis(p, "key-ttl"), Expected: Millis(p, "expected-time"), Abandon: Millis(p, "abandon-time"),
			Value: p.GetFloat64("value"), OverdueShare: p.GetFloat64("overdue-value"),
		}
		product.RunsIn = parseIDs(p.Get("runs-in"), names.Zone)
		product.AllowedOn = parseIDs(p.Get("allowed-on"), names.Kind)
		t.Products = append(t.Products, product)
	}
	for n, p := range settings.GetArray("tenants") {
		names.tenants[string(p.GetStringBytes("name"))] = logic.TenantID(n)
		t.Tenants = append(t.Tenants, p.GetFloat64("portion"))
	}
	return t, names
}

// Millis reads a time; absent and null are 0.
func Millis(v *fastjson.Value, key string) logic.Millis { return logic.Millis(v.GetFloat64(key)) }

// Reports tells whether an endpoint that is probed says how many exchanges it holds.
func ProbesReportLoad(settings *fastjson.Value) bool {
	return string(settings.GetStringBytes("report", "how")) != "silent" && slices.ContainsFunc(settings.GetArray("report", "columns"),
		func(c *fastjson.Value) bool { return string(c.GetStringBytes()) == "active" })
}

// Load reads a load report, whatever it holds; what it lacks is below 0.
func Load(report *fastjson.Value) logic.Load {
	l := logic.Load{Held: -1, Waiting: -1, Busy: -1}
	for key, f := range map[string]*float64{"active": &l.Held, "waiting": &l.Waiting, "cpu": &l.Busy} {
		if v := report.Get(key); v != nil && v.Type() == fastjson.TypeNumber {
			*f = v.GetFloat64()
		}
	}
	return l
}

// Key is 0 for no key.
func Key(text []byte) logic.KeyID {
	if len(text) == 0 {
		return 0
	}
	return logic.KeyOf(text)
}

// Products are the settings' products by name.
func (n *Names) Products() map[string]logic.ProductID { return n.products }

// Product is -1 for a name that the settings lack.
func (n *Names) Product(name []byte) logic.ProductID {
	if p, known := n.products[string(name)]; known {
		return p
	}
	return -1
}

// Tenant is -1 for a name that the settings lack.
func (n *Names) Tenant(name []byte) logic.TenantID {
	if t, known := n.tenants[string(name)]; known {
		return t
	}
	return -1
}

// Zone numbers zones as they are first named.
func (n *Names) Zone(name []byte) logic.ZoneID {
	return idFor(n.zones, name)
}

// Kind numbers kinds of machine as they are first named.
func (n *Names) Kind(name []byte) logic.KindID {
	return idFor(n.kinds, name)
}

func idFor[ID ~int](ids map[string]ID, name []byte) ID {
	id, known := ids[string(name)]
	if !known {
		id = ID(len(ids))
		ids[string(name)] = id
	}
	return id
}

// named are the ids of a list of names; nil where there is no list, which is not the same as one that names nothing.
func parseIDs[ID any](list *fastjson.Value, idOf func([]byte) ID) []ID {
	if list == nil || list.Type() == fastjson.TypeNull {
		return nil
	}
	ids := []ID{}
	for _, v := range list.GetArray() {
		ids = append(ids, idOf(v.GetStringBytes()))
	}
	return ids
}

// me is the sidecar's number in its fleet; below 0 where it is not told.
func sidecarNumber(settings *fastjson.Value) logic.PeerID {
	if !settings.Exists("me") {
		return -1
	}
	return logic.PeerID(settings.GetInt("me"))
}
