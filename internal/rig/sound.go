// Sound: when a sidecar has all that it needs to serve. This file owns which faults take that from it, and for how long they act on.
package rig

import "slices"

const (
	// afterEffect is for how long, in ms, a fault that is over is still felt: endpoints that are avoided, queues that drain.
	afterEffectMs = 2000.0
	// downtime is how long, in ms, a sidecar that is killed or restarted may take beyond the fault's own time to be back.
	restartAllowanceMs = 2000.0
)

// unsoundEndpoints and unsoundSidecars are faults of endpoints, which all sidecars feel, and of the sidecars themselves or their clients.
// Drains, replacements, trouble of the list service, hand-overs and crowds are no excuse.
var (
	endpointFaults = []string{"slow", "hang", "errors", "crash"}
	sidecarFaults  = []string{"kill", "restart", "stop", "leave"}
)

// sound tells whether endpoints, links and cores of a sidecar are sound from one time to another, in ms.
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
