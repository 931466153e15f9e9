// Fault injection: applies the scenario's faults to endpoints, sidecars, links and discovery at their times, and records
// when a sidecar need not answer because of them.

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

// sleepUntil waits until a time of the run, in ms. It returns false if the run ended before.
func (r *Rig) sleepUntil(ctx context.Context, at float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(max(at-r.now(), 0) * float64(time.Millisecond))):
		return true
	}
}

// runFault applies a fault at its time and ends it when it is over. A fault with a step is applied to its targets one
// after another, a step apart.
func (r *Rig) runFault(ctx context.Context, n int) {
	f := &r.scenario.Faults[n]
	places, targets := r.scenario.FaultTargets(n)
	if !r.sleepUntil(ctx, f.At*1000) {
		return
	}
	names := []string{}
	for _, p := range places {
		names = append(names, p.Name)
	}
	text := f.Kind + " " + shortenNames(names)
	r.OnEvent(r.now(), text)
	switch {
	case f.Kind == "list-off":
		r.listServer.addOutage(1)
		r.sleepUntil(ctx, f.End()*1000)
		r.listServer.addOutage(-1)
	case f.Kind == "list-spoil":
		r.listServer.faultNextCalls(int(f.Size))
	case f.Kind == "list-busy":
		r.listServer.setBusy(time.Duration(f.Size * float64(time.Second)))
		r.sleepUntil(ctx, f.End()*1000)
		r.listServer.setBusy(0)
	case f.Kind == "list-late":
		r.listServer.setDelay(n, time.Duration(f.Size*float64(time.Second)))
		r.sleepUntil(ctx, f.End()*1000)
		r.listServer.setDelay(n, 0)
	case isWatchFault(f.Kind):
		r.listServer.setWatchFault(n, f.Kind, f.Size)
		r.sleepUntil(ctx, f.End()*1000)
		r.listServer.clearWatchFault(n)
	default:
		var applied sync.WaitGroup
		for k, p := range places {
			applied.Go(func() {
				if r.sleepUntil(ctx, (f.At+float64(k)*f.Stagger)*1000) {
					r.applyFault(ctx, n, f, p, targets)
				}
			})
		}
		applied.Wait()
	}
	if f.Duration > 0 {
		r.OnEvent(r.now(), "end of "+text)
	}
}

// shortenNames joins names for an event's text; of more than six it gives the first five and the number of the others.
func shortenNames(names []string) string {
	if len(names) > 6 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:5], " "), len(names)-5)
	}
	return strings.Join(names, " ")
}

// applyFault applies a fault to one of its targets and ends it when it is over. With a step, the target's time begins
// when the fault is applied to it.
func (r *Rig) applyFault(ctx context.Context, n int, f *scenario.Fault, p scenario.Node, targets []scenario.Node) {
	until := (f.End())*1000 + math.Max(0, r.now()-f.At*1000)
	if f.Stagger == 0 {
		until = f.End() * 1000
	}
	switch {
	case f.IsLinkFault():
		r.applyLinkFault(ctx, n, f, p, until)
	case f.Kind == "slow" || f.Kind == "hang" || f.Kind == "errors":
		r.mu.Lock()
		e := r.current[p.Name]
		r.mu.Unlock()
		fault := emulator.Fault{Hang: f.Kind == "hang"}
		if f.Kind == "slow" {
			fault.Slowdown = f.Size
		} else if f.Kind == "errors" {
			fault.ErrorShare = f.Size
		}
		e.update(func(m *emulator.Endpoint) { m.Set(n, fault) })
		r.sleepUntil(ctx, until)
		e.update(func(m *emulator.Endpoint) { m.Clear(n) })
	case f.Kind == "crash":
		r.mu.Lock()
		e := r.current[p.Name]
		r.mu.Unlock()
		e.crash()
		r.sleepUntil(ctx, until)
		if err := e.restart(); err != nil {
			r.fail(err)
		}
		r.listServer.publish(listEntry{ID: e.Name, Zone: p.Zone, Cell: 1, State: "in_service", Weight: 1, Started: float64(time.Now().UnixMilli()), number: e.number})
	case f.Kind == "drain" || f.Kind == "replace":
		r.drain(ctx, f, p)
	case f.Kind == "maint":
		r.operatorDrain(ctx, p, targets, until)
	default:
		r.applySidecarFault(ctx, f, p.Number, until)
	}
}

// drain lists an endpoint as terminating, and as terminated after drainPeriod. For the fault "replace" a cold replacement
// starts at once. The endpoint itself keeps answering until removedServingMs after it was listed as terminated, then it
// crashes.
func (r *Rig) drain(ctx context.Context, f *scenario.Fault, p scenario.Node) {
	r.mu.Lock()
	e := r.current[p.Name]
	r.mu.Unlock()
	entry := listEntry{ID: e.Name, Zone: p.Zone, Cell: 1, State: "terminating", Weight: 1, number: e.number}
	r.book.SetInServiceUntil(e.number, r.now())
	r.listServer.publish(entry)
	if f.Kind == "replace" {
		if _, err := r.addEndpoint(p, e.Name+"n", true); err != nil {
			r.fail(err)
			return
		}
	}
	if r.sleepUntil(ctx, r.now()+float64(drainPeriod.Milliseconds())) {
		entry.State = "terminated"
		r.listServer.publish(entry)
		r.sleepUntil(ctx, r.now()+removedServingMs)
		e.crash()
	}
}

// operatorDrain drains endpoints by commands to one sidecar's console, and undrains them when the fault is over.
func (r *Rig) operatorDrain(ctx context.Context, p scenario.Node, targets []scenario.Node, until float64) {
	for _, command := range []string{"maint", "ready"} {
		for _, t := range targets {
			r.mu.Lock()
			e, process := r.current[t.Name], r.sidecars[p.Number]
			r.mu.Unlock()
			if command == "ready" {
				r.book.RecordUndrain(p.Number, e.number, r.now())
			}
			if process == nil {
				continue
			}
			console := process.console
			if l := r.links.consoles[p.Number]; l != nil {
				console = l.Addr() // leads to the console of the first process
			}
			if err := callConsole(console, "/endpoints/"+e.Name+"/"+command, 5*time.Second); err != nil {
				r.OnEvent(r.now(), fmt.Sprintf("s%d did not accept %s of %s: %v", p.Number, command, e.Name, err))
			} else if command == "maint" {
				r.book.RecordDrain(p.Number, e.number, r.now(), "by operator")
			}
		}
		if command == "maint" {
			r.sleepUntil(ctx, until)
		}
	}
}

// applySidecarFault applies a fault to one sidecar: to its process, its clients or its configuration.
func (r *Rig) applySidecarFault(ctx context.Context, f *scenario.Fault, s int, until float64) {
	p := r.sidecar(s)
	if p == nil {
		return
	}
	recoveryMs := float64((r.longestAbandon() + killDelay).Milliseconds())
	switch f.Kind {
	case "leave": // carried out by the clients, which read the scenario (earlyLeave)
		r.sleepUntil(ctx, until)
	case string(floodMixed), string(floodPartial), string(floodDrip), string(floodIdle):
		r.flood(ctx, floodKind(f.Kind), s, int(f.Size), until)
	case "reload":
		p.Process.Signal(syscall.SIGHUP)
	case "move":
		r.listServer.switchAddr(s)
		if err := r.writeConfig(s, filepath.Join(r.Dir, fmt.Sprint("s", s), "start.json")); err != nil {
			r.fail(err)
			return
		}
		p.Process.Signal(syscall.SIGHUP)
		r.listServer.scheduleNotified(s, fullList, notifiedAfterMoved, "new configuration")
	case "stop":
		p.Process.Signal(syscall.SIGSTOP)
		r.book.Excuse(s, r.now(), until+recoveryMs, "stopped")
		r.sleepUntil(ctx, until)
		p.Process.Signal(syscall.SIGCONT)
	case "kill":
		r.clients[s].stop()
		p.endExpected = true
		p.Process.Kill()
		<-p.ended
		r.book.Excuse(s, r.now(), r.now()+1, "killed")
		r.restartSidecar(ctx, s, until)
	case "restart":
		p.endExpected = true
		p.Process.Signal(syscall.SIGTERM)
		stopDialing := time.AfterFunc(newConnectionPeriod, r.clients[s].stopDialing)
		if !p.endsWithin(r.longestAbandon() + killDelay) {
			p.Process.Kill()
			<-p.ended
		}
		stopDialing.Stop()
		r.clients[s].stop()
		r.restartSidecar(ctx, s, 0)
	case "upgrade-fails":
		if err := r.failUpgrade(ctx, s, p, until); err != nil {
			r.fail(err)
		}
	case "upgrade":
		program := r.UpgradeProgram
		if program == "" {
			program = r.Program
		}
		if err := r.upgrade(s, program, r.freeConsoleRow(s, p)); err != nil {
			r.fail(err)
			return
		}
		p.endExpected = true
		p.Process.Signal(syscall.SIGTERM)
		if !p.endsWithin(r.longestAbandon() + killDelay) {
			p.Process.Kill()
			<-p.ended
		}
	}
}

// restartSidecar marks a sidecar as down and starts it again at the given time.
func (r *Rig) restartSidecar(ctx context.Context, s int, at float64) {
	r.mu.Lock()
	r.sidecars[s] = nil
	r.mu.Unlock()
	if !r.sleepUntil(ctx, at) {
		return
	}
	if err := r.startSidecar(s, r.Program, rowConsole); err != nil {
		r.fail(err)
	}
}

// upgrade starts a process beside the one that serves; the new one takes over from it.
func (r *Rig) upgrade(s int, program string, row int) error { return r.startSidecar(s, program, row) }

// freeConsoleRow returns the row of console addresses that a sidecar's current process does not use, for the next
// process.
func (r *Rig) freeConsoleRow(s int, p *process) int {
	if p.console == r.addrs.addr(rowSecondConsole, s) {
		return rowConsole
	}
	return rowSecondConsole
}

// failUpgrade starts a process beside the one that serves and kills it at the given time. The old process goes on.
func (r *Rig) failUpgrade(ctx context.Context, s int, old *process, until float64) error {
	dir := filepath.Join(r.Dir, fmt.Sprint("s", s))
	next, err := r.startProcess(r.Program, fmt.Sprint("s", s), filepath.Join(dir, "start.json"), dir, r.addrs.addr(r.freeConsoleRow(s, old), s))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes = append(r.processes, next)
	r.mu.Unlock()
	r.sleepUntil(ctx, until)
	next.endExpected = true
	r.mu.Lock()
	r.lastKillMs[s] = r.now()
	r.mu.Unlock()
	next.Process.Kill()
	<-next.ended
	r.book.Excuse(s, r.now(), r.now()+1, "one of its processes killed")
	return nil
}

// killedSince reports whether one of a sidecar's two processes was killed at the given time or later. The process may
// have read what was sent to it, so the client must not send the request again as it does when an idle connection was
// closed.
func (r *Rig) killedSince(sidecar int, at float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	killed, found := r.lastKillMs[sidecar]
	return found && killed >= at
}

// applyLinkFault applies a fault to the links of one sidecar and ends it when it is over.
func (r *Rig) applyLinkFault(ctx context.Context, n int, f *scenario.Fault, p scenario.Node, until float64) {
	fault := links.Fault{Direction: map[string]links.Direction{"": links.Both, "there": links.ToServer, "back": links.ToClient}[f.Direction]}
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
		fault.BytesPerSecond = f.Size
	case "lose":
		fault.Direction, fault.Loss = links.ToClient, f.Size
	}
	if f.Link == "clients" {
		r.book.Excuse(p.Number, r.now(), until+faultAftermathMs, f.Kind+" between client and sidecar")
	}
	chosen := r.linksOf(n, f, p.Number)
	var changes sync.WaitGroup
	for _, l := range chosen {
		changes.Go(func() {
			if f.Kind == "reset" {
				l.Reset()
			} else {
				l.Set(n, fault)
			}
		})
	}
	changes.Wait()
	if f.Kind == "reset" {
		return
	}
	r.sleepUntil(ctx, until)
	for _, l := range chosen {
		l.Clear(n)
	}
}

// linksOf returns the links of one sidecar that a fault applies to. Links to endpoints are those of the sidecar's class.
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
		if l := r.links.upstream[[2]int{r.links.classOf[sidecar], e.number}]; l != nil && r.linkFaultAppliesTo(n, e) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// setDelay delays changes of the list on behalf of fault n; 0 ends the delay.
func (l *listServer) setDelay(n int, by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if by > 0 {
		l.delays[n] = by
	} else {
		delete(l.delays, n)
	}
}
