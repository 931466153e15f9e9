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

// The story and the evidence of this failure stand at logic/discovery_capacity_test.go, where discovery is a model. Here real
// processes on loopback call a discovery that works through its calls in turn, and break the rule in the same way: a change that it
// has counts as notified 6 s after it could be reached, and requests went on to the endpoint that drains.

const (
	overloadProcesses = 20
	overloadRound     = 4800 * time.Millisecond // the work of one call of each process
	overloadCallWork  = overloadRound / overloadProcesses
	overloadMaxWait   = 3 * time.Second
	overloadOutage    = 5 * time.Second
)

// crowdedDiscovery tells its list, to each call when its turn has come, and then beats.
type overloadedDiscovery struct {
	queue   *callqueue.Queue
	mu      sync.Mutex
	list    string
	watches chan struct{} // closed to end the watches
}

func newOverloadedDiscovery(policy callqueue.Policy, list string) *overloadedDiscovery {
	return &overloadedDiscovery{queue: callqueue.New(overloadCallWork, overloadMaxWait, policy), list: list, watches: make(chan struct{})}
}

// answering serves one process, which is known by the address that it calls.
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

// goDown ends all watches and refuses all calls; comeBack ends that, with another list.
func (d *overloadedDiscovery) goDown() {
	d.queue.Down()
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watches)
	d.watches = make(chan struct{})
}

func (d *overloadedDiscovery) comeBack(list string) time.Time {
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	d.queue.Up()
	return time.Now()
}

// crowdTrial is a fleet before one discovery, with an endpoint that will drain and one that stays.
type overloadTrial struct {
	*testEnv
	discovery        *overloadedDiscovery
	endpoints        [2]string
	listenAddrs      []string
	mu               sync.Mutex
	lastDrainRequest map[string]time.Time // request to the endpoint that drains, by process
}

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

// heard is how many processes have a list of this version.
func (c *overloadTrial) countWithVersion(version int) (many int) {
	for _, listen := range c.listenAddrs {
		if _, page := get(listen, "/counters"); strings.Contains(page, fmt.Sprintf("\nlist_version %d\n", version)) {
			many++
		}
	}
	return many
}

// A fleet whose calls together are nearly all that discovery can do in the time keeps a drain that came while it was down.
func TestDrainsAreHonoredWithOverloadedDiscovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy callqueue.Policy
	}{{"calls wait for their turn", callqueue.Wait}, {"calls that would wait long are refused", callqueue.Refuse}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			trial := newOverloadTrial(t, c.policy)
			require.Eventually(t, func() bool { return trial.countWithVersion(1) == overloadProcesses }, 2*overloadRound, 50*time.Millisecond,
				"all processes hear a list after their start")
			trial.discovery.goDown()
			time.Sleep(overloadOutage)
			back := trial.discovery.comeBack(trial.list(2, "terminating"))
			bound := notifiedAfterReturn + drainGrace + socketSlack
			time.Sleep(time.Until(back.Add(bound + 2*time.Second)))
			trial.mu.Lock()
			defer trial.mu.Unlock()
			require.Len(t, trial.lastDrainRequest, overloadProcesses, "each sent to it while it was in service")
			for process, last := range trial.lastDrainRequest {
				assert.LessOrEqual(t, last.Sub(back), bound, "last request of %s to the endpoint that drains", process)
			}
			assert.LessOrEqual(t, trial.discovery.queue.CallCount(), 6*overloadProcesses, "calls after discovery's return")
		})
	}
}
