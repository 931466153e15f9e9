package virtual

import (
	"fmt"
	"slices"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
	"github.com/lynxjunction/lynxjunction/logic"
)

// plan sets a fault's begin and end.
func (w *world) plan(n int) error {
	f := &w.s.Faults[n]
	who, _ := w.s.Chosen(n)
	if f.OnLink() && (f.Over != "upstream" || !slices.Contains([]string{"cut", "silent", "delay", "lose"}, f.What)) ||
		slices.Contains([]string{"stop", "reload", "upgrade", "maint", "list-ends", "list-mute", "list-silent"}, f.What) {
		return fmt.Errorf("faults[%d].what: %s %s is only there on sockets, not in virtual time", n, f.What, f.Over)
	}
	if f.What == "list-off" || f.What == "list-late" {
		who = make([]scenario.Place, 1)
	}
	for k, p := range who {
		at := (f.At + float64(k)*f.Step) * 1000
		w.after(at, func() { w.begin(n, f, p) })
		if f.For > 0 {
			w.after(at+f.For*1000, func() { w.end(n, f, p) })
		}
	}
	return nil
}

func (w *world) begin(n int, f *scenario.Fault, p scenario.Place) {
	e := w.current[p.Name]
	switch f.What {
	case "slow":
		e.alter(func() { e.model.Set(n, emulator.Fault{Slow: f.Size}) })
	case "hang":
		e.alter(func() { e.model.Set(n, emulator.Fault{Hang: true}) })
	case "errors":
		e.alter(func() { e.model.Set(n, emulator.Fault{Errors: f.Size}) })
	case "crash":
		e.alter(func() { e.model.Stop(); e.gone = true })
		e.drop()
	case "drain", "replace":
		w.book.Out(e.number, w.now)
		e.state = logic.NotRunning
		w.listChanged(e)
		if f.What == "replace" {
			w.addEndpoint(p, e.name+"n", true)
		}
		w.after(leaveTime, func() {
			e.state = logic.Gone
			w.listChanged(e)
			w.after(drainGrace, func() { e.alter(func() { e.model.Stop(); e.gone = true }); e.drop() })
		})
	case "kill", "restart":
		c := w.sidecars[p.Number]
		w.book.Excuse(c.Number, w.now, w.now+1, "killed")
		c.down = true
		c.life++
		for _, x := range c.open {
			for _, g := range x.legs {
				g.over = true
			}
		}
		ids := []string{}
		for id := range c.open {
			ids = append(ids, string(id))
		}
		slices.Sort(ids)
		for _, id := range ids {
			for _, g := range c.open[logic.ExchangeID(id)].legs {
				if g.began && g.to.held[g.job] == g {
					e := g.to
					e.alter(func() { delete(e.held, g.job); e.model.Cancel(g.job) })
					w.book.End(g.account, "left", w.now)
				}
			}
		}
		c.open = map[logic.ExchangeID]*exchange{}
		if f.What == "restart" {
			w.after(1000, c.start)
		}
	case "cut", "silent", "delay", "lose":
		c := w.sidecars[p.Number]
		c.links = append(c.links, n)
		if f.What == "cut" {
			clear(c.idle)
		}
	case "list-off":
		w.listOff++
		for _, c := range w.sidecars {
			if c.asking && !c.down {
				c.asking = false
				c.decider.SetNow(logic.Millis(w.now + epoch))
				c.decider.ListCallFailed()
			}
		}
	case "list-late":
		w.listLate += f.Size * 1000
	}
}

func (w *world) end(n int, f *scenario.Fault, p scenario.Place) {
	e := w.current[p.Name]
	switch f.What {
	case "slow", "hang", "errors":
		e.alter(func() { e.model.Clear(n) })
	case "crash":
		e.model.Advance(w.now, e.done)
		e.gone, e.started = false, w.now+epoch
		e.model.Restart(w.now)
		w.listChanged(e)
	case "kill":
		w.sidecars[p.Number].start()
	case "cut", "silent", "delay", "lose":
		c := w.sidecars[p.Number]
		c.links = slices.DeleteFunc(c.links, func(o int) bool { return o == n })
	case "list-off":
		w.listOff--
	case "list-late":
		w.listLate -= f.Size * 1000
	}
}
