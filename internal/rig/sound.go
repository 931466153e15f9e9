// Sound: when a sidecar has all that it needs to serve. This file owns which faults take that from it, and for how long they act on.
package rig

import "slices"

const (
	// afterEffect is for how long, in ms, a fault that is over is still felt: endpoints that are avoided, queues that drain.
	afterEffect = 2000.0
	// downtime is how long, in ms, a sidecar that is killed or restarted may take beyond the fault's own time to be back.
	downtime = 2000.0
)

// unsoundEndpoints and unsoundSidecars are faults of endpoints, which all sidecars feel, and of the sidecars themselves or their clients.
// Drains, replacements, trouble of the list service, hand-overs and crowds are no excuse.
var (
	unsoundEndpoints = []string{"slow", "hang", "errors", "crash"}
	unsoundSidecars  = []string{"kill", "restart", "stop", "leave"}
)

// sound tells whether endpoints, links and cores of a sidecar are sound from one time to another, in ms.
func (r *Rig) sound(sidecar int, from, to float64) bool {
	for n := range r.s.Faults {
		f := &r.s.Faults[n]
		who, _ := r.s.FaultTargets(n)
		begins, ends := f.At*1000, f.End()*1000+afterEffect
		if f.Stagger > 0 {
			ends += f.Stagger * 1000 * float64(len(who))
		}
		hit := slices.Contains(unsoundEndpoints, f.Kind)
		switch {
		case slices.Contains(unsoundSidecars, f.Kind):
			hit = has(who, sidecar)
			ends += downtime + float64((r.longest() + killAfter).Milliseconds())
		case f.IsLinkFault() && f.Link != "list":
			hit = has(who, sidecar)
		}
		if hit && from < ends && to > begins {
			return false
		}
	}
	return true
}
