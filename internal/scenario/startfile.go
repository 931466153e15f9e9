// The start file of a sidecar, in the format that internal/sidecar reads.

package scenario

import (
	"fmt"
	"time"
)

// EndpointIdleTimeout is the time after which endpoints close idle connections.
const EndpointIdleTimeout = 15 * time.Second

// object is a JSON object.
type object = map[string]any

// settingsEffects maps the effects of scenario files to those of the settings.
var settingsEffects = map[string]string{"replayable": "retryable", "referenced": "dedup", "single-use": "fragile"}

// Settings returns the settings of a sidecar. Apart from the sidecar's number and zone they are the same for all
// sidecars.
func Settings(s *Scenario, number int, zone string) object {
	f, products := &s.Fleet, []object{}
	for _, p := range s.Products {
		o := object{"name": p.Name, "effect": settingsEffects[p.Effect], "expected-time": p.ExpectedTime, "abandon-time": p.AbandonTime, "value": 1.0, "overdue-value": 0.5}
		if p.Effect == "referenced" {
			o["dedup-scope"], o["key-ttl"] = "all", 60000.0
		}
		products = append(products, o)
	}
	guarantees := object{"ask-within": f.AskWithin * 1000, "grace-to-answer": 20.0, "drain-grace": f.DrainGrace}
	for _, g := range s.Endpoints {
		if g.ColdPeriod > 0 {
			guarantees["cold"], guarantees["cold-from"] = g.ColdPeriod*1000, g.ColdFrom
		}
		if g.FallMultiple > 0 {
			guarantees["fall"], guarantees["fall-multiple"] = g.FallWindow*1000, g.FallMultiple
		}
	}
	if f.BudgetWindow > 0 {
		guarantees["extra-free"], guarantees["extra-ratio"], guarantees["look-back"] = f.ExtraFree, f.ExtraRatio, f.BudgetWindow*1000
	}
	return object{"fleet-size": f.Sidecars, "me": number, "tick": 1.0, "registry-mode": "on_request", "locality": zone,
		"prices": object{"cross-zone": f.CrossZonePrice},
		"allowed": object{"max-legs": f.MaxLegs, "may-cancel": true, "second-copies": true, "retry-after": true, "max-retry-after": 700.0,
			"connect-timeout": 250.0, "idle-close": float64(EndpointIdleTimeout.Milliseconds())},
		"guarantees": guarantees, "products": products}
}

// StartFile returns the content of the start file of one sidecar.
func StartFile(s *Scenario, number int, zone, listen, discovery string, known any) object {
	return object{"name": fmt.Sprint("s", number), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", s.SeedOf(fmt.Sprint("s", number))),
		"limits": object{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
		"known":  known, "settings": Settings(s, number, zone)}
}
