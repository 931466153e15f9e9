package terms

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/logic"
)

// Guards against settings that are out of range: a negative time or a share over 1 was accepted as it was and distorted
// every decision. The error names the key.
func TestCheckNamesTheKey(t *testing.T) {
	for _, c := range []struct{ text, wantKey string }{
		{`{}`, ""},
		{`{"fleet-size":3,"me":2,"allowed":{"peers":true,"multiplex":100},"registry-mode":"pushed","value-by":"work"}`, ""},
		{`{"fleet-size":null,"registry-mode":null,"prices":{"cross-zone":0.03}}`, ""},
		{`{"fleet-size":-1}`, "settings.fleet-size"},
		{`{"fleet-size":"3"}`, "settings.fleet-size"},
		{`{"fleet-size":3,"me":3}`, "settings.me"},
		{`{"me":-1}`, "settings.me"},
		{`{"tick":nan}`, "settings.tick"},
		{`{"guarantees":{"extra-free":3,"extra-ratio":0.1,"look-back":5000,"budget-error":820,"ready-margin":null}}`, ""},
		{`{"guarantees":{"look-back":-1}}`, "settings.guarantees.look-back"},
		{`{"guarantees":{"extra-ratio":"a tenth"}}`, "settings.guarantees.extra-ratio"},
		{`{"guarantees":{"budget-error":-820}}`, "settings.guarantees.budget-error"},
		{`{"allowed":{"answer-buffers":-5}}`, "settings.allowed.answer-buffers"},
		{`{"overage-value":1.5}`, "settings.overage-value"},
		{`{"prices":{"cross-zone":inf}}`, "settings.prices.cross-zone"},
		{`{"guarantees":{"cold-from":1.1}}`, "settings.guarantees.cold-from"},
		{`{"guarantees":{"fall-multiple":-2}}`, "settings.guarantees.fall-multiple"},
		{`{"allowed":{"max-legs":-4}}`, "settings.allowed.max-legs"},
		{`{"products":[{"value":1},{"expected-time":-5}]}`, "settings.products[1].expected-time"},
		{`{"products":[{"overdue-value":2}]}`, "settings.products[0].overdue-value"},
		{`{"products":[{"runs-in":["a","b"],"allowed-on":["k"]},{"runs-in":null}]}`, ""},
		{`{"products":[{"runs-in":"a"}]}`, "settings.products[0].runs-in"},
		{`{"products":[{},{"allowed-on":[]}]}`, "settings.products[1].allowed-on"},
		{`{"products":[{"allowed-on":["k",""]}]}`, "settings.products[0].allowed-on[1]"},
		{`{"products":[{"runs-in":["a",7]}]}`, "settings.products[0].runs-in[1]"},
		{`{"products":[{"runs-in":{"a":1}}]}`, "settings.products[0].runs-in"},
		{`{"tenants":[{"portion":-0.1}]}`, "settings.tenants[0].portion"},
		{`{"registry-mode":"push"}`, "settings.registry-mode"},
		{`{"value-by":7}`, "settings.value-by"},
		{`{"allowed":{"peers":true}}`, "settings.fleet-size"},
		{`{"fleet-size":1,"allowed":{"peers":true}}`, "settings.fleet-size"},
	} {
		v, err := fastjson.Parse(c.text)
		if !assert.NoError(t, err, c.text) {
			continue
		}
		if err = Check(v); c.wantKey == "" {
			assert.NoError(t, err, c.text)
		} else {
			assert.ErrorContains(t, err, c.wantKey+":", c.text)
		}
	}
}

// Settings that older deployments don't have must keep the behaviour of those deployments.
func TestDefaultsOfAbsentSettings(t *testing.T) {
	v := fastjson.MustParse(`{"products":[{"name":"a"}]}`)
	got, _ := Parse(v, 1)
	assert.True(t, got.PullList)
	assert.False(t, got.Peers || got.ByWork)
	assert.Negative(t, got.SidecarNumber, "no number in the settings")
	assert.False(t, PeersAllowed(v) || ListIsPushed(v))
	assert.Equal(t, 1, StreamsPerConnection(v))
	got, _ = Parse(fastjson.MustParse(`{"me":4,"fleet-size":9,"registry-mode":"pushed","value-by":"work","allowed":{"peers":true}}`), 1)
	assert.Equal(t, logic.PeerID(4), got.SidecarNumber)
	assert.True(t, got.Peers && got.ByWork && !got.PullList)
}

// Optional settings must reach the module's terms, and a value that a load report lacks must not make the endpoint look
// idle.
func TestOptionalSettingsReachTheTerms(t *testing.T) {
	got, _ := Parse(fastjson.MustParse(`{"allowed":{"answer-buffers":5,"probes":true,"idle-close":15000},"domain":{"warm-keys":true},
		"guarantees":{"extra-free":3,"extra-ratio":0.1,"look-back":5000,"budget-error":820,"ready-margin":90},
		"prices":{"probe":0.002},"report":{"how":"piggyback","columns":["active","cpu"]}}`), 1)
	assert.Equal(t, []any{5, true, logic.Millis(15000), true, 3.0, 0.1, logic.Millis(5000), logic.Millis(820), logic.Millis(90), 0.002, true},
		[]any{got.AnswerBuffers, got.MayProbe, got.IdleTimeout, got.WarmKeys, got.ExtraFree, got.ExtraRatio, got.BudgetWindow, got.DeadlineSkew, got.ReadySkew,
			got.ProbePrice, got.ReportsLoad})
	assert.Equal(t, logic.Load{Held: 7, Waiting: -1, Busy: 0.5}, Load(fastjson.MustParse(`{"active":7,"cpu":0.5,"waiting":null}`)))
	assert.Equal(t, logic.Load{Held: -1, Waiting: -1, Busy: -1}, Load(nil))
	assert.False(t, ProbesReportLoad(fastjson.MustParse(`{"report":{"how":"silent","columns":["active"]}}`)))
	assert.Zero(t, Key(nil))
	assert.NotEqual(t, Key([]byte("a")), Key([]byte("b")))
}

// The placement lists of a product must be parsed to the IDs that lists of endpoints use. An absent list allows every
// zone or machine type, unlike an empty one.
func TestPlacementListsAreParsedToIDs(t *testing.T) {
	got, names := Parse(fastjson.MustParse(`{"locality":"home","products":[{"runs-in":["b","home"]},{"allowed-on":["k","l"]},{},{"runs-in":[]}]}`), 1)
	assert.Equal(t, []logic.ZoneID{names.Zone([]byte("b")), names.Zone([]byte("home"))}, got.Products[0].RunsIn)
	assert.Equal(t, got.Zone, got.Products[0].RunsIn[1])
	assert.Equal(t, []logic.KindID{names.Kind([]byte("k")), names.Kind([]byte("l"))}, got.Products[1].AllowedOn)
	assert.NotEqual(t, names.Kind([]byte("k")), names.Kind([]byte("m")))
	assert.Nil(t, got.Products[0].AllowedOn)
	assert.True(t, got.Products[2].RunsIn == nil && got.Products[2].AllowedOn == nil)
	assert.True(t, got.Products[3].RunsIn != nil && len(got.Products[3].RunsIn) == 0, "an empty list, which the sidecar refuses, allows nothing")
}
