package terms

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// limits of the settings' figures, by key; what is absent keeps its default.
var numberLimits = []struct {
	path            []string
	lowest, highest float64
}{
	{[]string{"fleet-size"}, 0, 1e6}, {[]string{"me"}, 0, 1e6}, {[]string{"tick"}, 0, 1e4},
	{[]string{"overage-value"}, 0, 1}, {[]string{"prices", "cross-zone"}, 0, 1e3},
	{[]string{"allowed", "max-legs"}, 0, 1e3}, {[]string{"allowed", "multiplex"}, 0, 1e6},
	{[]string{"allowed", "max-retry-after"}, 0, math.MaxUint32}, {[]string{"allowed", "connect-timeout"}, 0, math.MaxUint32},
	{[]string{"allowed", "idle-close"}, 0, math.MaxUint32}, {[]string{"guarantees", "ask-within"}, 0, math.MaxUint32},
	{[]string{"guarantees", "cold"}, 0, math.MaxUint32}, {[]string{"guarantees", "fall"}, 0, math.MaxUint32},
	{[]string{"guarantees", "look-back"}, 0, math.MaxUint32}, {[]string{"guarantees", "extra-free"}, 0, 1e9},
	{[]string{"guarantees", "extra-ratio"}, 0, 1e3}, {[]string{"guarantees", "budget-error"}, 0, math.MaxUint32},
	{[]string{"guarantees", "ready-margin"}, 0, math.MaxUint32}, {[]string{"allowed", "answer-buffers"}, 0, 1e9},
	{[]string{"prices", "probe"}, 0, 1e3}, {[]string{"guarantees", "cold-from"}, 0, 1}, {[]string{"guarantees", "fall-multiple"}, 0, 1e3},
}

// perProduct and perTenant are the limits of each entry's figures.
var productMaxima = map[string]float64{
	"expected-time": math.MaxUint32, "abandon-time": math.MaxUint32, "key-ttl": math.MaxUint32, "value": math.MaxUint32,
	"overdue-value": 1,
}

var tenantMaxima = map[string]float64{"portion": 1}

// words that a setting may have; absent is the first, which is the shape of old.
var allowedWords = map[string][]string{"registry-mode": {"on_request", "pushed"}, "value-by": {"request", "work"}}

// Check finds what no deployment can mean, and names the key. The simulator's settings are not checked: they are its own.
func Check(settings *fastjson.Value) error {
	for _, limit := range numberLimits {
		if err := checkNumber("settings", settings.Get(limit.path...), limit.lowest, limit.highest, limit.path...); err != nil {
			return err
		}
	}
	for key, highest := range productMaxima {
		for n, p := range settings.GetArray("products") {
			if err := checkNumber(fmt.Sprintf("settings.products[%d]", n), p.Get(key), 0, highest, key); err != nil {
				return err
			}
		}
	}
	for n, p := range settings.GetArray("products") {
		for _, key := range []string{"runs-in", "allowed-on"} {
			if err := checkNames(fmt.Sprintf("settings.products[%d].%s", n, key), p.Get(key)); err != nil {
				return err
			}
		}
	}
	for key, highest := range tenantMaxima {
		for n, t := range settings.GetArray("tenants") {
			if err := checkNumber(fmt.Sprintf("settings.tenants[%d]", n), t.Get(key), 0, highest, key); err != nil {
				return err
			}
		}
	}
	for key, allowed := range allowedWords {
		if v := settings.Get(key); v != nil && v.Type() != fastjson.TypeNull {
			if word := string(v.GetStringBytes()); word != allowed[0] && word != allowed[1] {
				return fmt.Errorf("settings.%s: %s is neither %s nor %s", key, v, allowed[0], allowed[1])
			}
		}
	}
	fleet, me := settings.GetInt("fleet-size"), settings.GetInt("me")
	if PeersAllowed(settings) && fleet < 2 {
		return fmt.Errorf("settings.fleet-size: %d, but settings.allowed.peers makes a pool", fleet)
	}
	if fleet > 0 && me >= fleet {
		return fmt.Errorf("settings.me: %d is not among settings.fleet-size, %d", me, fleet)
	}
	return nil
}

// names refuses what is no list of names. One that no endpoint has yet is legal: nothing is sent until one has.
func checkNames(location string, v *fastjson.Value) error {
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != fastjson.TypeArray || len(v.GetArray()) == 0 {
		return fmt.Errorf("%s: %s is no list of names", location, v)
	}
	for n, e := range v.GetArray() {
		if e.Type() != fastjson.TypeString || len(e.GetStringBytes()) == 0 {
			return fmt.Errorf("%s[%d]: %s is no name", location, n, e)
		}
	}
	return nil
}

func checkNumber(location string, v *fastjson.Value, lowest, highest float64, path ...string) error {
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, key := range path {
		location += "." + key
	}
	number, err := v.Float64()
	if err != nil || math.IsNaN(number) || number < lowest || number > highest {
		return fmt.Errorf("%s: %s is no number from %g to %g", location, v, lowest, highest)
	}
	return nil
}

// Pools tells whether the sidecars may write to one another.
func PeersAllowed(settings *fastjson.Value) bool { return settings.GetBool("allowed", "peers") }

// Pushed tells whether the list comes unasked.
func ListIsPushed(settings *fastjson.Value) bool {
	return string(settings.GetStringBytes("registry-mode")) == "pushed"
}

// Streams is how many exchanges a connection carries at once.
func StreamsPerConnection(settings *fastjson.Value) int {
	return max(settings.GetInt("allowed", "multiplex"), 1)
}
