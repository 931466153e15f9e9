package terms

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// numberLimits are the ranges of the settings that are numbers. Settings that are absent keep their defaults.
var numberLimits = []struct {
	path            []string
	lowest, highest float64
}{
	{[]string{"fleet-size"}, 0, 1e6},
	{[]string{"me"}, 0, 1e6},
	{[]string{"tick"}, 0, 1e4},
	{[]string{"overage-value"}, 0, 1},
	{[]string{"prices", "cross-zone"}, 0, 1e3},
	{[]string{"allowed", "max-legs"}, 0, 1e3},
	{[]string{"allowed", "multiplex"}, 0, 1e6},
	{[]string{"allowed", "max-retry-after"}, 0, math.MaxUint32},
	{[]string{"allowed", "connect-timeout"}, 0, math.MaxUint32},
	{[]string{"allowed", "idle-close"}, 0, math.MaxUint32},
	{[]string{"guarantees", "ask-within"}, 0, math.MaxUint32},
	{[]string{"guarantees", "cold"}, 0, math.MaxUint32},
	{[]string{"guarantees", "fall"}, 0, math.MaxUint32},
	{[]string{"guarantees", "look-back"}, 0, math.MaxUint32},
	{[]string{"guarantees", "extra-free"}, 0, 1e9},
	{[]string{"guarantees", "extra-ratio"}, 0, 1e3},
	{[]string{"guarantees", "budget-error"}, 0, math.MaxUint32},
	{[]string{"guarantees", "ready-margin"}, 0, math.MaxUint32},
	{[]string{"allowed", "answer-buffers"}, 0, 1e9},
	{[]string{"prices", "probe"}, 0, 1e3},
	{[]string{"guarantees", "cold-from"}, 0, 1},
	{[]string{"guarantees", "fall-multiple"}, 0, 1e3},
}

// productMaxima are the upper limits of the numbers of each product. The lower limit is 0.
var productMaxima = map[string]float64{
	"expected-time": math.MaxUint32, "abandon-time": math.MaxUint32, "key-ttl": math.MaxUint32, "value": math.MaxUint32,
	"overdue-value": 1,
}

// tenantMaxima are the upper limits of the numbers of each tenant. The lower limit is 0.
var tenantMaxima = map[string]float64{"portion": 1}

// allowedWords are the values of settings that are words. The first is the default, which keeps the behaviour of
// deployments that predate the setting.
var allowedWords = map[string][]string{"registry-mode": {"on_request", "pushed"}, "value-by": {"request", "work"}}

// Check returns an error that names the key of a setting that is invalid in any deployment. Only a sidecar's settings
// are checked; the simulator is responsible for the settings that it generates.
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
		return fmt.Errorf("settings.fleet-size: %d is too small: settings.allowed.peers needs at least 2 sidecars", fleet)
	}
	if fleet > 0 && me >= fleet {
		return fmt.Errorf("settings.me: %d must be less than settings.fleet-size, %d", me, fleet)
	}
	return nil
}

// checkNames returns an error unless the setting is absent or a list with at least one name. A name that no endpoint
// has yet is valid: no exchange of the product is sent until an endpoint with that name is listed.
func checkNames(location string, v *fastjson.Value) error {
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != fastjson.TypeArray || len(v.GetArray()) == 0 {
		return fmt.Errorf("%s: %s is not a list of names (at least one is needed)", location, v)
	}
	for n, e := range v.GetArray() {
		if e.Type() != fastjson.TypeString || len(e.GetStringBytes()) == 0 {
			return fmt.Errorf("%s[%d]: %s is not a name (a string that is not empty)", location, n, e)
		}
	}
	return nil
}

// checkNumber returns an error unless the setting is absent or a number in the given range. The path is appended to the
// location in the error.
func checkNumber(location string, v *fastjson.Value, lowest, highest float64, path ...string) error {
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, key := range path {
		location += "." + key
	}
	number, err := v.Float64()
	if err != nil || math.IsNaN(number) || number < lowest || number > highest {
		return fmt.Errorf("%s: %s is not a number from %g to %g", location, v, lowest, highest)
	}
	return nil
}

// PeersAllowed reports whether the sidecars form a pool, in which they exchange messages.
func PeersAllowed(settings *fastjson.Value) bool { return settings.GetBool("allowed", "peers") }

// ListIsPushed reports whether discovery sends the list without being asked for it.
func ListIsPushed(settings *fastjson.Value) bool {
	return string(settings.GetStringBytes("registry-mode")) == "pushed"
}

// StreamsPerConnection returns the number of concurrent exchanges on a connection, at least 1.
func StreamsPerConnection(settings *fastjson.Value) int {
	return max(settings.GetInt("allowed", "multiplex"), 1)
}
