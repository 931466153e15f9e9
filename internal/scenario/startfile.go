// Start file: what the program is told at its start. This file owns the form that internal/sidecar reads.
package scenario

import (
	"fmt"
	"time"
)

// IdleClose is after how long endpoints close connections that are idle.
const IdleClose = 15 * time.Second

type object = map[string]any // of JSON

var effects = map[string]string{"replayable": "retryable", "referenced": "dedup", "single-use": "fragile"}

// Settings are a sidecar's: its number and its zone are its own.
func Settings(s *Scenario, me int, zone string) object {
	f, products := &s.Fleet, []object{}
	for _, p := range s.Products {
		o := object{"name": p.Name, "effect": effects[p.Effect], "expected-time": p.Expected, "abandon-time": p.Abandon, "value": 1.0, "overdue-value": 0.5}
		if p.Effect == "referenced" {
			o["dedup-scope"], o["key-ttl"] = "all", 60000.0
		}
		products = append(products, o)
	}
	rules := object{"ask-within": f.AskWithin * 1000, "grace-to-answer": 20.0, "drain-grace": f.DrainGrace}
	for _, g := range s.Endpoints {
		if g.Cold > 0 {
			rules["cold"], rules["cold-from"] = g.Cold*1000, g.ColdFrom
		}
		if g.FallOver > 0 {
			rules["fall"], rules["fall-multiple"] = g.FallWithin*1000, g.FallOver
		}
	}
	if f.LookBack > 0 {
		rules["extra-free"], rules["extra-ratio"], rules["look-back"] = f.ExtraFree, f.ExtraRatio, f.LookBack*1000
	}
	return object{"fleet-size": f.Sidecars, "me": me, "tick": 1.0, "registry-mode": "on_request", "locality": zone,
		"prices": object{"cross-zone": f.CrossPrice},
		"allowed": object{"max-legs": f.MaxLegs, "may-cancel": true, "second-copies": true, "retry-after": true, "max-retry-after": 700.0,
			"connect-timeout": 250.0, "idle-close": float64(IdleClose.Milliseconds())},
		"guarantees": rules, "products": products}
}

// StartFile is one sidecar's.
func StartFile(s *Scenario, n int, zone, listen, discovery string, known any) object {
	return object{"name": fmt.Sprint("s", n), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", s.SeedOf(fmt.Sprint("s", n))),
		"limits": object{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
		"known":  known, "settings": Settings(s, n, zone)}
}
