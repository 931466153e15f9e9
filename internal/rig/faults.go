// Faults: what is done to endpoints, sidecars, links and the list, when the scenario says. This file owns how each is done and
// which answers are not owed for it.
package rig

import (
	"context"
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/emulator"
	"github.com/lynxjunction/lynxjunction/internal/links"
	"github.com/lynxjunction/lynxjunction/internal/scenario"
)

// sleep waits until a time of the rehearsal; false at its end.
func (r *Rig) sleep(ctx context.Context, at float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(max(at-r.now(), 0) * float64(time.Millisecond))):
		return true
	}
}

// play does one fault, one after the other where it is done to several with a step, and ends it.
func (r *Rig) play(ctx context.Context, n int) {
	f := &r.s.Faults[n]
	who, to := r.s.FaultTargets(n)
	if !r.sleep(ctx, f.At*1000) {
		return
	}
	names := []string{}
	for _, p := range who {
		names = append(names, p.Name)
	}
	text := f.Kind + " " + shorten(names)
	r.Say(r.now(), text)
	switch {
	case f.Kind == "list-off":
		r.lists.down(1)
		r.sleep(ctx, f.End()*1000)
		r.lists.down(-1)
	case f.Kind == "list-spoil":
		r.lists.spoilNext(int(f.Size))
	case f.Kind == "list-busy":
		r.lists.busy(time.Duration(f.Size * float64(time.Second)))
		r.sleep(ctx, f.End()*1000)
		r.lists.busy(0)
	case f.Kind == "list-late":
		r.lists.delay(n, time.Duration(f.Size*float64(time.Second)))
		r.sleep(ctx, f.End()*1000)
		r.lists.delay(n, 0)
	case isWatchFault(f.Kind):
		r.lists.setWatchFault(n, f.Kind, f.Size)
		r.sleep(ctx, f.End()*1000)
		r.lists.clearWatchFault(n)
	default:
		var each sync.WaitGroup
		for k, p := range who {
			each.Go(func() {
				if r.sleep(ctx, (f.At+float64(k)*f.Stagger)*1000) {
					r.one(ctx, n, f, p, to)
				}
			})
		}
		each.Wait()
	}
	if f.Duration > 0 {
		r.Say(r.now(), "end of "+text)
	}
}

func shorten(names []string) string {
	if len(names) > 6 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:5], " "), len(names)-5)
	}
	return strings.Join(names, " ")
}

// one does a fault to one of those it is done to, and ends it.
func (r *Rig) one(ctx context.Context, n int, f *scenario.Fault, p scenario.Node, to []scenario.Node) {
	until := (f.End())*1000 + math.Max(0, r.now()-f.At*1000)
	if f.Stagger == 0 {
		until = f.End() * 1000
	}
	switch {
	case f.IsLinkFault():
		r.onLink(ctx, n, f, p, until)
	case f.Kind == "slow" || f.Kind == "hang" || f.Kind == "errors":
		r.mu.Lock()
		e := r.current[p.Name]
		r.mu.Unlock()
		fault := emulator.Fault{Hang: f.Kind == "hang"}
		if f.Kind == "slow" {
			fault.Slow = f.Size
		} else if f.Kind == "errors" {
			fault.Errors = f.Size
		}
		e.alter(func(m *emulator.Endpoint) { m.Set(n, fault) })
		r.sleep(ctx, until)
		e.alter(func(m *emulator.Endpoint) { m.Clear(n) })
	case f.Kind == "crash":
		r.mu.Lock()
		e := r.current[p.Name]
		r.mu.Unlock()
		e.crash()
		r.sleep(ctx, until)
		if err := e.comeBack(); err != nil {
			r.fail(err)
		}
		r.lists.say(listed{ID: e.Name, Zone: p.Zone, Cell: 1, State: "in_service", Weight: 1, Started: float64(time.Now().UnixMilli()), number: e.number})
	case f.Kind == "drain" || f.Kind == "replace":
		r.drain(ctx, f, p)
	case f.Kind == "maint":
		r.byHand(ctx, p, to, until)
	default:
		r.onSidecar(ctx, f, p.Number, until)
	}
}

// drain takes an endpoint off the list; a replacement starts at once, cold.
func (r *Rig) drain(ctx context.Context, f *scenario.Fault, p scenario.Node) {
	r.mu.Lock()
	e := r.current[p.Name]
	r.mu.Unlock()
	entry := listed{ID: e.Name, Zone: p.Zone, Cell: 1, State: "terminating", Weight: 1, number: e.number}
	r.book.SetInServiceUntil(e.number, r.now())
	r.lists.say(entry)
	if f.Kind == "replace" {
		if _, err := r.addEndpoint(p, e.Name+"n", true); err != nil {
			r.fail(err)
			return
		}
	}
	if r.sleep(ctx, r.now()+float64(leaveTime.Milliseconds())) {
		entry.State = "terminated"
		r.lists.say(entry)
		r.sleep(ctx, r.now()+stayTime)
		e.crash()
	}
}

// byHand takes endpoints out at one sidecar's console, and puts them back.
func (r *Rig) byHand(ctx context.Context, p scenario.Node, to []scenario.Node, until float64) {
	for _, word := range []string{"maint", "ready"} {
		for _, t := range to {
			r.mu.Lock()
			e, process := r.current[t.Name], r.sidecars[p.Number]
			r.mu.Unlock()
			if word == "ready" {
				r.book.RecordUndrain(p.Number, e.number, r.now())
			}
			if process == nil {
				continue
			}
			console := process.console
			if l := r.links.consoles[p.Number]; l != nil {
				console = l.Addr() // of the first process
			}
			if err := call(console, "/endpoints/"+e.Name+"/"+word, 5*time.Second); err != nil {
				r.Say(r.now(), fmt.Sprintf("no yes from s%d to %s of %s: %v", p.Number, word, e.Name, err))
			} else if word == "maint" {
				r.book.RecordDrain(p.Number, e.number, r.now(), "by hand")
			}
		}
		if word == "maint" {
			r.sleep(ctx, until)
		}
	}
}

// onSidecar does something to a process.
func (r *Rig) onSidecar(ctx context.Context, f *scenario.Fault, s int, until float64) {
	p := r.sidecar(s)
	if p == nil {
		return
	}
	owed := float64((r.longest() + killAfter).Milliseconds())
	switch f.Kind {
	case "leave": // done by the clients, which look at the scenario
		r.sleep(ctx, until)
	case string(crowdMixed), string(crowdHeads), string(crowdDrip), string(crowdKept):
		r.crowd(ctx, crowdKind(f.Kind), s, int(f.Size), until)
	case "reload":
		p.Process.Signal(syscall.SIGHUP)
	case "move":
		r.lists.move(s)
		if err := r.config(s, filepath.Join(r.Dir, fmt.Sprint("s", s), "start.json")); err != nil {
			r.fail(err)
			return
		}
		p.Process.Signal(syscall.SIGHUP)
		r.lists.owe(s, wholeList, notifiedAfterMoved, "a new configuration")
	case "stop":
		p.Process.Signal(syscall.SIGSTOP)
		r.book.Excuse(s, r.now(), until+owed, "stopped")
		r.sleep(ctx, until)
		p.Process.Signal(syscall.SIGCONT)
	case "kill":
		r.clients[s].stop()
		p.want = true
		p.Process.Kill()
		<-p.ended
		r.book.Excuse(s, r.now(), r.now()+1, "killed")
		r.again(ctx, s, until)
	case "restart":
		p.want = true
		p.Process.Signal(syscall.SIGTERM)
		leaving := time.AfterFunc(newClientsLast, r.clients[s].openNoMore)
		if !p.wait(r.longest() + killAfter) {
			p.Process.Kill()
			<-p.ended
		}
		leaving.Stop()
		r.clients[s].stop()
		r.again(ctx, s, 0)
	case "upgrade-fails":
		if err := r.upgradeFails(ctx, s, p, until); err != nil {
			r.fail(err)
		}
	case "upgrade":
		program := r.Other
		if program == "" {
			program = r.Program
		}
		if err := r.upgrade(s, program, r.otherConsole(s, p)); err != nil {
			r.fail(err)
			return
		}
		p.want = true
		p.Process.Signal(syscall.SIGTERM)
		if !p.wait(r.longest() + killAfter) {
			p.Process.Kill()
			<-p.ended
		}
	}
}

// again starts a sidecar that is down.
func (r *Rig) again(ctx context.Context, s int, at float64) {
	r.mu.Lock()
	r.sidecars[s] = nil
	r.mu.Unlock()
	if !r.sleep(ctx, at) {
		return
	}
	if err := r.startSidecar(s, r.Program, rowConsole); err != nil {
		r.fail(err)
	}
}

// upgrade starts a process beside the one that serves.
func (r *Rig) upgrade(s int, program string, row int) error { return r.startSidecar(s, program, row) }

// otherConsole is the row of the console that a sidecar's process does not have.
func (r *Rig) otherConsole(s int, p *process) int {
	if p.console == r.block.at(rowConsole2, s) {
		return rowConsole
	}
	return rowConsole2
}

// upgradeFails starts a process beside the one that serves, and kills it after a while: the old one goes on.
func (r *Rig) upgradeFails(ctx context.Context, s int, old *process, until float64) error {
	dir := filepath.Join(r.Dir, fmt.Sprint("s", s))
	next, err := r.run(r.Program, fmt.Sprint("s", s), filepath.Join(dir, "start.json"), dir, r.block.at(r.otherConsole(s, old), s))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.all = append(r.all, next)
	r.mu.Unlock()
	r.sleep(ctx, until)
	next.want = true
	r.mu.Lock()
	r.kills[s] = r.now()
	r.mu.Unlock()
	next.Process.Kill()
	<-next.ended
	r.book.Excuse(s, r.now(), r.now()+1, "one of its processes killed")
	return nil
}

// killedSince tells whether one of a sidecar's two processes was killed at a time or later: what was sent to it may have been read, and
// is not for its client to send once more as if a resting connection had been closed.
func (r *Rig) killedSince(sidecar int, at float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	killed, any := r.kills[sidecar]
	return any && killed >= at
}

// onLink puts a fault on the links of one sidecar.
func (r *Rig) onLink(ctx context.Context, n int, f *scenario.Fault, p scenario.Node, until float64) {
	fault := links.Fault{Way: map[string]links.Way{"": links.Both, "there": links.There, "back": links.Back}[f.Direction]}
	ms := time.Duration(f.Size * float64(time.Millisecond))
	switch f.Kind {
	case "cut":
		fault.Cut = true
	case "silent":
		fault.Silent = true
	case "delay":
		fault.Delay = ms
	case "jitter":
		fault.Jitter = ms
	case "limit":
		fault.Limit = f.Size
	case "lose":
		fault.Way, fault.Lose = links.Back, f.Size
	}
	if f.Link == "clients" {
		r.book.Excuse(p.Number, r.now(), until+outageSlack, f.Kind+" between client and sidecar")
	}
	chosen := r.linksOf(n, f, p.Number)
	var all sync.WaitGroup
	for _, l := range chosen {
		all.Go(func() {
			if f.Kind == "reset" {
				l.Reset()
			} else {
				l.Set(n, fault)
			}
		})
	}
	all.Wait()
	if f.Kind == "reset" {
		return
	}
	r.sleep(ctx, until)
	for _, l := range chosen {
		l.Clear(n)
	}
}

// linksOf are the links that a fault is on, of one sidecar. Those upstream are its class's.
func (r *Rig) linksOf(n int, f *scenario.Fault, sidecar int) (chosen []*links.Link) {
	switch f.Link {
	case "list":
		return []*links.Link{r.links.list[sidecar]}
	case "clients":
		return []*links.Link{r.links.clients[sidecar]}
	case "consoles":
		return []*links.Link{r.links.consoles[sidecar]}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if l := r.links.upstream[[2]int{r.links.class[sidecar], e.number}]; l != nil && r.hits(n, e) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// delay makes changes of the list late for a fault; 0 ends it.
func (l *lists) delay(n int, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by > 0 {
		l.late[n] = by
	} else {
		delete(l.late, n)
	}
}
