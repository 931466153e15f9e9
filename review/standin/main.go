// Command standin plays the cases of this review. It starts the sidecar by the run command of the deploy file, and stands in for clients,
// endpoints, discovery and the platform on loopback addresses. It ends with 0 if the rule held, 1 if it was broken, 2 if the case could
// not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case.
type world struct {
	root, dir string // of the repository, and a temporary folder
	rec       *record
	endpoints []*endpoint
	disc      *discovery
	dep       deployment
	config    string
	clients   *clients
	mu        sync.Mutex
	sidecars  []*sidecar
	trouble   string
}

var cases = map[string]func(w *world) (broken []string, err error){
	"1": resetAnswers,
	"2": uploadsAtShutdown,
	"3": clientsLeave,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("can't run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{root: root, dir: dir, rec: rec, config: filepath.Join(dir, "start.json"), trouble: os.Getenv("TROUBLE")}
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	over := time.AfterFunc(110*time.Second, func() { stop <- syscall.SIGALRM })
	defer over.Stop()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](w)
		done <- result{broken, err}
	}()
	select {
	case s := <-stop:
		rec.say("can't run: stopped by %v", s)
		return 2
	case r := <-done:
		if r.err != nil {
			rec.say("can't run: %v", r.err)
			return 2
		}
		for _, b := range r.broken {
			rec.say("BROKEN: %s", b)
		}
		if len(r.broken) > 0 {
			return 1
		}
		rec.say("the rule held")
		return 0
	}
}

// build starts endpoints and discovery and writes the start file.
func (w *world) build(endpoints int, work func(r *http.Request) time.Duration, products []map[string]any, memoryMB, sockets int) error {
	var entries []listEntry
	for n := range endpoints {
		e, err := newEndpoint(fmt.Sprintf("s-%08x", 0x5be2a07c+n), w.rec, work)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
		entries = append(entries, listEntry{ID: e.id, Addr: e.addr, Zone: "rennes-1", Kind: "double-std", Cell: 0, State: "in_service", Weight: 1})
	}
	var err error
	if w.disc, err = newDiscovery(w.rec, entries); err != nil {
		return err
	}
	w.dep.listen, w.dep.discovery, w.dep.memoryMB, w.dep.sockets, w.dep.products, w.dep.known = freeAddr(), w.disc.addr, memoryMB, sockets, products, w.disc.full()
	w.clients = &clients{rec: w.rec, addr: w.dep.listen}
	return w.dep.startFile(w.config)
}

// startSidecar starts a process of the sidecar; tmp is a folder under the run's own, made if it is not there.
func (w *world) startSidecar(name, tmp, console string) (*sidecar, error) {
	tmp = filepath.Join(w.dir, tmp)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	logPath := filepath.Join(w.dir, name+".log")
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logPath = filepath.Join(keep, name+".log")
	}
	s, err := startSidecar(w.rec, w.root, name, w.config, tmp, w.dep.listen, w.dep.discovery, console, logPath)
	if err == nil {
		w.mu.Lock()
		w.sidecars = append(w.sidecars, s)
		w.mu.Unlock()
	}
	return s, err
}

// end ends all processes that the run has started.
func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sidecars {
		s.kill()
	}
}

// runs returns how often a request was begun at all endpoints.
func (w *world) runs(id string) (n int) {
	for _, e := range w.endpoints {
		n += e.runsOf(id)
	}
	return n
}
