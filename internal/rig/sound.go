// Healthy periods: when a sidecar has all that it needs to serve its share of requests. Defines which faults excuse it
// from that, and for how long after their end.

package rig

import "slices"

const (
	afterEffectMs      = 2000.0 // after a fault's end, in which endpoints are still avoided and queues drain
	restartAllowanceMs = 2000.0 // beyond the fault's own time, until a killed or restarted sidecar has to serve again
)

// Faults that excuse a sidecar from its share of served requests. Drains, replacements, faults of discovery, upgrades and
// connection floods do not.
var (
	endpointFaults = []string{"slow", "hang", "errors", "crash"}  // affect all sidecars
	sidecarFaults  = []string{"kill", "restart", "stop", "leave"} // affect the sidecar whose process or clients they act on
)

// isHealthy reports whether no fault impairs a sidecar's endpoints, links, process or clients from one time to another,
// in ms.
func (r *Rig) isHealthy(sidecar int, from, to float64) bool {
	for n := range r.scenario.Faults {
		f := &r.scenario.Faults[n]
		sidecars, _ := r.scenario.FaultTargets(n)
		begins, ends := f.At*1000, f.End()*1000+afterEffectMs
		if f.Stagger > 0 {
			ends += f.Stagger * 1000 * float64(len(sidecars))
		}
		affected := slices.Contains(endpointFaults, f.Kind)
		switch {
		case slices.Contains(sidecarFaults, f.Kind):
			affected = containsPlace(sidecars, sidecar)
			ends += restartAllowanceMs + float64((r.longestAbandon() + killDelay).Milliseconds())
		case f.IsLinkFault() && f.Link != "list":
			affected = containsPlace(sidecars, sidecar)
		}
		if affected && from < ends && to > begins {
			return false
		}
	}
	return true
}
