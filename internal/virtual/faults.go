package virtual

import (
	"fmt"
	"slices"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
	"github.com/lynxjunction/lynxjunction/logic"
)

// scheduleFault schedules the beginning and the end of fault n. It returns an error for faults that can't be simulated.
func (sim *simulation) scheduleFault(n int) error {
	f := &sim.scenario.Faults[n]
	targets, _ := sim.scenario.FaultTargets(n)
	if f.IsLinkFault() && (f.Link != "upstream" || !slices.Contains([]string{"cut", "silent", "delay", "lose"}, f.Kind)) ||
		slices.Contains([]string{"stop", "reload", "upgrade", "maint", "list-ends", "list-mute", "list-silent"}, f.Kind) {
		return fmt.Errorf("faults[%d].what: %s %s needs real processes and sockets; it can't be simulated in virtual time", n, f.Kind, f.Link)
	}
	if f.Kind == "list-off" || f.Kind == "list-late" {
		targets = make([]scenario.Node, 1)
	}
	for k, p := range targets {
		at := (f.At + float64(k)*f.Stagger) * 1000
		sim.after(at, func() { sim.beginFault(n, f, p) })
		if f.Duration > 0 {
			sim.after(at+f.Duration*1000, func() { sim.endFault(n, f, p) })
		}
	}
	return nil
}

// beginFault begins fault n at one of its targets.
func (sim *simulation) beginFault(n int, f *scenario.Fault, p scenario.Node) {
	e := sim.currentByName[p.Name]
	switch f.Kind {
	case "slow":
		e.update(func() { e.model.Set(n, emulator.Fault{Slowdown: f.Size}) })
	case "hang":
		e.update(func() { e.model.Set(n, emulator.Fault{Hang: true}) })
	case "errors":
		e.update(func() { e.model.Set(n, emulator.Fault{ErrorShare: f.Size}) })
	case "crash":
		e.update(func() { e.model.Stop(); e.stopped = true })
		e.dropAll()
	case "drain", "replace":
		sim.book.SetInServiceUntil(e.recordNumber, sim.now)
		e.state = logic.NotRunning
		sim.listChanged(e)
		if f.Kind == "replace" {
			sim.addEndpoint(p, e.name+"n", true)
		}
		sim.after(drainTimeMs, func() {
			e.state = logic.Gone
			sim.listChanged(e)
			sim.after(drainGraceMs, func() { e.update(func() { e.model.Stop(); e.stopped = true }); e.dropAll() })
		})
	case "kill", "restart":
		c := sim.sidecars[p.Number]
		sim.book.Excuse(c.Number, sim.now, sim.now+1, "killed")
		c.down = true
		c.restarts++
		for _, x := range c.exchanges {
			for _, g := range x.legs {
				g.ended = true
			}
		}
		ids := []string{}
		for id := range c.exchanges {
			ids = append(ids, string(id))
		}
		slices.Sort(ids)
		for _, id := range ids {
			for _, g := range c.exchanges[logic.ExchangeID(id)].legs {
				if g.arrived && g.endpoint.legsByJob[g.job] == g {
					e := g.endpoint
					e.update(func() { delete(e.legsByJob, g.job); e.model.Cancel(g.job) })
					sim.book.EndLeg(g.record, "left", sim.now)
				}
			}
		}
		c.exchanges = map[logic.ExchangeID]*exchange{}
		if f.Kind == "restart" {
			sim.after(1000, c.start)
		}
	case "cut", "silent", "delay", "lose":
		c := sim.sidecars[p.Number]
		c.linkFaults = append(c.linkFaults, n)
		if f.Kind == "cut" {
			clear(c.idleConnections)
		}
	case "list-off":
		sim.listOutages++
		for _, c := range sim.sidecars {
			if c.watching && !c.down {
				c.watching = false
				c.decider.SetNow(logic.Millis(sim.now + epochMs))
				c.decider.ListCallFailed()
			}
		}
	case "list-late":
		sim.listDelayMs += f.Size * 1000
	}
}

// endFault ends fault n at one of its targets.
func (sim *simulation) endFault(n int, f *scenario.Fault, p scenario.Node) {
	e := sim.currentByName[p.Name]
	switch f.Kind {
	case "slow", "hang", "errors":
		e.update(func() { e.model.Clear(n) })
	case "crash":
		e.model.Advance(sim.now, e.jobDone)
		e.stopped, e.startedAt = false, sim.now+epochMs
		e.model.Restart(sim.now)
		sim.listChanged(e)
	case "kill":
		sim.sidecars[p.Number].start()
	case "cut", "silent", "delay", "lose":
		c := sim.sidecars[p.Number]
		c.linkFaults = slices.DeleteFunc(c.linkFaults, func(o int) bool { return o == n })
	case "list-off":
		sim.listOutages--
	case "list-late":
		sim.listDelayMs -= f.Size * 1000
	}
}
