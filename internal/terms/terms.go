// Package terms converts the JSON settings of an instance into the decision module's terms, and into a mapping from the
// names that exchanges and lists use to the module's IDs. The simulator's adapter and the sidecar share it. It takes no
// decisions.
package terms

import (
	"slices"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Names maps the names that settings, exchanges and lists use to the module's IDs.
type Names struct {
	products map[string]logic.ProductID
	tenants  map[string]logic.TenantID
	zones    map[string]logic.ZoneID
	kinds    map[string]logic.KindID
}

// effectByName are the effects of products by their names in the settings. Any other name is single-use.
var effectByName = map[string]logic.Effect{"retryable": logic.Retryable, "dedup": logic.Deduplicated}

// groupByName are the deduplication scopes of products by their names in the settings. Any other name is a single cell.
var groupByName = map[string]logic.Group{"all": logic.AllEndpoints, "zone": logic.OneZone}

// Parse converts a settings object into the module's terms and the mapping of its names. Absent settings get their
// defaults. Parse does not check the settings (see Check).
func Parse(settings *fastjson.Value, seed uint64) (logic.Terms, *Names) {
	names := &Names{
		products: map[string]logic.ProductID{}, tenants: map[string]logic.TenantID{}, zones: map[string]logic.ZoneID{}, kinds: map[string]logic.KindID{},
	}
	allowed, guarantees := settings.Get("allowed"), settings.Get("guarantees")
	t := logic.Terms{
		Seed:           seed,
		Fleet:          settings.GetInt("fleet-size"),
		SidecarNumber:  sidecarNumber(settings),
		Peers:          allowed.GetBool("peers"),
		Zone:           names.Zone(settings.GetStringBytes("locality")),
		OverShareValue: settings.GetFloat64("overage-value"),
		MaxLegs:        allowed.GetInt("max-legs"),
		MayHedge:       allowed.GetBool("second-copies"),
		MayCancel:      allowed.GetBool("may-cancel"),
		ByWork:         string(settings.GetStringBytes("value-by")) == "work",
		PullList:       string(settings.GetStringBytes("registry-mode")) != "pushed",
		AskWithin:      Millis(guarantees, "ask-within"),
		ColdPeriod:     Millis(guarantees, "cold"),
		FallWindow:     Millis(guarantees, "fall"),
		ColdFrom:       guarantees.GetFloat64("cold-from"),
		FallMultiple:   guarantees.GetFloat64("fall-multiple"),
		CrossZonePrice: settings.GetFloat64("prices", "cross-zone"),
		TimerTick:      Millis(settings, "tick"),
		ExtraFree:      guarantees.GetFloat64("extra-free"),
		ExtraRatio:     guarantees.GetFloat64("extra-ratio"),
		DrainGrace:     Millis(guarantees, "drain-grace"),
		BudgetWindow:   Millis(guarantees, "look-back"),
		DeadlineSkew:   Millis(guarantees, "budget-error"),
		ReadySkew:      Millis(guarantees, "ready-margin"),
		AnswerBuffers:  allowed.GetInt("answer-buffers"),
		WarmKeys:       settings.GetBool("domain", "warm-keys"),
		MayProbe:       allowed.GetBool("probes"),
		ReportsLoad:    ProbesReportLoad(settings),
		ProbePrice:     settings.GetFloat64("prices", "probe"),
		IdleTimeout:    Millis(allowed, "idle-close"),
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

// Millis returns the time in milliseconds under a key, 0 if it is absent or null.
func Millis(v *fastjson.Value, key string) logic.Millis { return logic.Millis(v.GetFloat64(key)) }

// ProbesReportLoad reports whether the answer to a probe includes the number of exchanges that the endpoint is
// processing.
func ProbesReportLoad(settings *fastjson.Value) bool {
	return string(settings.GetStringBytes("report", "how")) != "silent" && slices.ContainsFunc(settings.GetArray("report", "columns"),
		func(c *fastjson.Value) bool { return string(c.GetStringBytes()) == "active" })
}

// Load parses a load report. Values that are missing or not numbers are -1, which stands for unknown.
func Load(report *fastjson.Value) logic.Load {
	l := logic.Load{Held: -1, Waiting: -1, Busy: -1}
	for key, f := range map[string]*float64{"active": &l.Held, "waiting": &l.Waiting, "cpu": &l.Busy} {
		if v := report.Get(key); v != nil && v.Type() == fastjson.TypeNumber {
			*f = v.GetFloat64()
		}
	}
	return l
}

// Key returns the ID of an exchange's key, 0 if it has none.
func Key(text []byte) logic.KeyID {
	if len(text) == 0 {
		return 0
	}
	return logic.KeyOf(text)
}

// Products returns the IDs of all products in the settings by their names.
func (n *Names) Products() map[string]logic.ProductID { return n.products }

// Product returns the ID of a product, -1 if the settings have no product of that name.
func (n *Names) Product(name []byte) logic.ProductID {
	if p, known := n.products[string(name)]; known {
		return p
	}
	return -1
}

// Tenant returns the ID of a tenant, -1 if the settings have no tenant of that name.
func (n *Names) Tenant(name []byte) logic.TenantID {
	if t, known := n.tenants[string(name)]; known {
		return t
	}
	return -1
}

// Zone returns the ID of a zone. IDs are assigned in the order in which names first occur.
func (n *Names) Zone(name []byte) logic.ZoneID {
	return idFor(n.zones, name)
}

// Kind returns the ID of a machine type. IDs are assigned in the order in which names first occur.
func (n *Names) Kind(name []byte) logic.KindID {
	return idFor(n.kinds, name)
}

// idFor returns the ID of a name, the next free one for a new name.
func idFor[ID ~int](ids map[string]ID, name []byte) ID {
	id, known := ids[string(name)]
	if !known {
		id = ID(len(ids))
		ids[string(name)] = id
	}
	return id
}

// parseIDs returns the IDs of a list of names. It returns nil if there is no list (no restriction), as opposed to an
// empty slice for an empty list (nothing is allowed).
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

// sidecarNumber returns the sidecar's number in its fleet, -1 if the settings don't give it.
func sidecarNumber(settings *fastjson.Value) logic.PeerID {
	if !settings.Exists("me") {
		return -1
	}
	return logic.PeerID(settings.GetInt("me"))
}
