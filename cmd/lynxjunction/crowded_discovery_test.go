package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lynxjunction/lynxjunction/internal/callqueue"
)

// This test guards against requests to a draining endpoint when discovery is overloaded after an outage. The failure
// and its evidence are described in logic/discovery_capacity_test.go, where discovery is simulated. Here real processes
// on loopback call a discovery that handles one call at a time, and broke the rule in the same way: a change counts as
// notified 6 s after discovery is reachable, but requests still went to the endpoint that drains.

const (
	overloadProcesses = 20
	overloadRound     = 4800 * time.Millisecond // work of one call of every process
	overloadCallWork  = overloadRound / overloadProcesses
	overloadMaxWait   = 3 * time.Second // with policy Refuse, calls that would wait longer are refused
	overloadOutage    = 5 * time.Second
)

// overloadedDiscovery answers its calls one at a time with its list, and then sends heartbeats.
type overloadedDiscovery struct {
	queue   *callqueue.Queue
	mu      sync.Mutex
	list    string
	watches chan struct{} // closed to end the watches
}

func newOverloadedDiscovery(policy callqueue.Policy, list string) *overloadedDiscovery {
	return &overloadedDiscovery{queue: callqueue.New(overloadCallWork, overloadMaxWait, policy), list: list, watches: make(chan struct{})}
}

// handlerFor returns the handler for one process, which is identified by the address that it calls.
func (d *overloadedDiscovery) handlerFor(process string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if d.queue.Take(r.Context(), process) != nil {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.mu.Lock()
		list, watches := d.list, d.watches
		d.mu.Unlock()
		for text := list; ; text = "" {
			io.WriteString(rw, text+"\n")
			rw.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-watches:
				panic(http.ErrAbortHandler)
			case <-time.After(time.Second):
			}
		}
	}
}

// goDown ends all watches and refuses all calls.
func (d *overloadedDiscovery) goDown() {
	d.queue.Down()
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watches)
	d.watches = make(chan struct{})
}

// comeBack accepts calls again, with another list, and returns the time.
func (d *overloadedDiscovery) comeBack(list string) time.Time {
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	d.queue.Up()
	return time.Now()
}

// overloadTrial is a fleet with one discovery, an endpoint that will drain and one that stays.
type overloadTrial struct {
	*testEnv
	discovery        *overloadedDiscovery
	endpoints        [2]string
	listenAddrs      []string
	mu               sync.Mutex
	lastDrainRequest map[string]time.Time // last request to the endpoint that drains, by process
}

// list returns a list with the endpoint that stays in service and the other one in the given state.
func (c *overloadTrial) list(version int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[`+
		`{"id":"s0","addr":%q,"zone":"a","cell":1,"state":%q,"weight":1,"started_ms":0},`+
		`{"id":"s1","addr":%q,"zone":"a","cell":1,"state":"in_service","weight":1,"started_ms":0}]}`, version, c.endpoints[0], state, c.endpoints[1])
}

func newOverloadTrial(t *testing.T, policy callqueue.Policy) *overloadTrial {
	c := &overloadTrial{testEnv: &testEnv{T: t}, lastDrainRequest: map[string]time.Time{}}
	c.endpoints[0] = c.serve(func(rw http.ResponseWriter, r *http.Request) {
		process, _, _ := strings.Cut(r.Header.Get("Request-Id"), "-")
		c.mu.Lock()
		c.lastDrainRequest[process] = time.Now()
		c.mu.Unlock()
		io.WriteString(rw, "hello")
	})
	c.endpoints[1] = c.serve(func(rw http.ResponseWriter, _ *http.Request) { io.WriteString(rw, "hello") })
	c.discovery = newOverloadedDiscovery(policy, c.list(1, "in_service"))
	dir := t.TempDir()
	for n := range overloadProcesses {
		c.startProcess(dir, fmt.Sprint("p", n))
	}
	return c
}

// startProcess starts one sidecar and a client that sends it a request every few milliseconds.
func (c *overloadTrial) startProcess(dir, name string) {
	listen := ownAddress(c.T)
	config := startFile(c.T, dir, listen, c.serve(c.discovery.handlerFor(name)), c.list(0, "in_service"), 512, overloadProcesses)
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), "LYNXJUNCTION_TEST_SERVE=1", "RELAY_CONFIG="+config)
	log, err := os.Create(filepath.Join(dir, name+".log"))
	require.NoError(c, err)
	process.Stderr = log
	require.NoError(c, process.Start())
	over, ended := make(chan struct{}), make(chan struct{})
	c.Cleanup(func() {
		close(over)
		<-ended
		process.Process.Kill()
		process.Wait()
		log.Close()
	})
	go func() {
		defer close(ended)
		c.load(listen, name, over)
	}()
	c.listenAddrs = append(c.listenAddrs, listen)
}

// load sends requests one after another until over is closed.
func (c *overloadTrial) load(listen, name string, over <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		request, _ := http.NewRequest("GET", "http://"+listen+"/look/x", nil)
		request.Header = http.Header{"Request-Id": {fmt.Sprintf("%s-%d", name, n)}, "Request-Class": {"look"}, "Request-Timeout": {"1000m"}}
		if got, err := client.Do(request); err == nil {
			io.Copy(io.Discard, got.Body)
			got.Body.Close()
		}
		select {
		case <-over:
			return
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// countWithVersion returns how many processes use the given version of the list.
func (c *overloadTrial) countWithVersion(version int) (many int) {
	for _, listen := range c.listenAddrs {
		if _, page := get(listen, "/counters"); strings.Contains(page, fmt.Sprintf("\nlist_version %d\n", version)) {
			many++
		}
	}
	return many
}

// Discovery recovers from an outage with a drain, and the calls of the fleet take up nearly all of its capacity until
// the bound. Every sidecar must still honor the drain.
func TestDrainsAreHonoredWithOverloadedDiscovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy callqueue.Policy
	}{{"calls wait in the queue", callqueue.Wait}, {"calls that would wait long are refused", callqueue.Refuse}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			trial := newOverloadTrial(t, c.policy)
			require.Eventually(t, func() bool { return trial.countWithVersion(1) == overloadProcesses }, 2*overloadRound, 50*time.Millisecond,
				"all processes receive a list after their start")
			trial.discovery.goDown()
			time.Sleep(overloadOutage)
			back := trial.discovery.comeBack(trial.list(2, "terminating"))
			bound := notifiedAfterReturn + drainGrace + socketSlack
			time.Sleep(time.Until(back.Add(bound + 2*time.Second)))
			trial.mu.Lock()
			defer trial.mu.Unlock()
			require.Len(t, trial.lastDrainRequest, overloadProcesses, "each process sent requests to it while it was in service")
			for process, last := range trial.lastDrainRequest {
				assert.LessOrEqual(t, last.Sub(back), bound, "last request of %s to the endpoint that drains", process)
			}
			assert.LessOrEqual(t, trial.discovery.queue.CallCount(), 6*overloadProcesses, "calls after discovery's return")
		})
	}
}
