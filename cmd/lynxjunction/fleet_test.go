package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
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
)

// notificationBound is the time after which a change counts as notified once discovery has it and is reachable,
// whatever failed before.
const notificationBound = 6 * time.Second

// startSidecar starts the test program as a sidecar, in a shell that may set limits first.
func startSidecar(t *testing.T, limits, config string) {
	p := exec.Command("/bin/sh", "-c", limits+` exec "$0"`, os.Args[0])
	p.Env = append(os.Environ(), "LYNXJUNCTION_TEST_SERVE=1", "RELAY_CONFIG="+config)
	require.NoError(t, p.Start())
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	t.Cleanup(func() {
		p.Process.Kill()
		<-ended
	})
}

// get requests one of a sidecar's own pages on a new connection; a status of 0 means no answer.
func get(addr, path string) (int, string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", path)
	got, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	body, _ := io.ReadAll(got.Body)
	return got.StatusCode, string(body)
}

// startFile writes the start file of a sidecar and returns its path.
func startFile(t *testing.T, dir, listen, discovery, known string, sockets, fleet int) string {
	path := filepath.Join(dir, strings.NewReplacer(":", "-").Replace(listen)+".json")
	require.NoError(t, os.WriteFile(path, []byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":%q,`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":{"fleet-size":%d,"tick":1,`+
		`"allowed":{"max-legs":3,"may-cancel":true,"second-copies":true,"idle-close":15000},"guarantees":{"ask-within":10000},"products":[`+
		`{"name":"look","effect":"retryable","expected-time":20000,"abandon-time":25000,"value":1,"overdue-value":0.5}]}}`,
		listen, discovery, listen[strings.LastIndex(listen, ":")+1:], sockets, known, fleet)), 0o600))
	return path
}

// endpointList returns a list with the given endpoints in service.
func endpointList(version int, addrs ...string) string {
	entries := []string{}
	for n, a := range addrs {
		entries = append(entries, fmt.Sprintf(`{"id":"s%d","addr":%q,"zone":"a","cell":1,"state":"in_service","weight":1,"started_ms":0}`, n, a))
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

// Idle clients, some with a partial request head, use up all descriptors while discovery is down. When discovery
// recovers, the sidecar must receive the list in time, answer the exchange in progress and serve new requests.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	gate := make(chan bool)
	w := &testEnv{T: t}
	endpoint := w.serve(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/look/held" {
			<-gate
		}
		io.WriteString(rw, "hello")
	})
	listen, discovery := freePort(t), freePort(t)
	startSidecar(t, "ulimit -n 128;", startFile(t, t.TempDir(), listen, discovery, endpointList(1, endpoint), 512, 300))
	require.Eventually(t, func() bool { s, _ := get(listen, "/up"); return s == 200 }, 10*time.Second, 10*time.Millisecond)
	request := func(id, path string) (net.Conn, string) {
		c, err := net.Dial("tcp", listen)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: look\r\nRequest-Timeout: 24000m\r\n\r\n", path, id)
	}
	held, text := request("held", "/look/held")
	io.WriteString(held, text)
	done := make(chan bool)
	defer close(done)
	for n := range 200 {
		_, text := request(fmt.Sprint("idle", n), "/look/x")
		go func() { // a client whose connection is closed connects again, so that their number never drops
			for {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return
				}
				switch n % 3 {
				case 1:
					io.WriteString(c, text[:20])
				case 2: // the connection stays open after the answer
					io.WriteString(c, text)
				}
				ended := make(chan bool)
				go func() {
					io.Copy(io.Discard, c)
					close(ended)
				}()
				select {
				case <-ended:
					c.Close()
				case <-done:
					c.Close()
					return
				}
			}
		}()
	}
	require.Eventually(t, func() bool {
		_, page := get(listen, "/counters")
		return strings.Contains(page, "\nclients_shed ") && !strings.Contains(page, "\nclients_shed 0\n")
	}, 10*time.Second, 10*time.Millisecond, "idle clients are shed")
	ln, err := net.Listen("tcp", discovery)
	require.NoError(t, err)
	back := time.Now()
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.WriteString(rw, endpointList(7, endpoint)+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go srv.Serve(ln)
	defer srv.Close()
	for heard := false; !heard; {
		_, page := get(listen, "/counters")
		heard = strings.Contains(page, "\nlist_version 7\n")
		require.Less(t, time.Since(back), notificationBound, "the list is received in time")
	}
	close(gate)
	held.SetDeadline(time.Now().Add(20 * time.Second))
	got, err := http.ReadResponse(bufio.NewReader(held), nil)
	require.NoError(t, err, "the exchange in progress is not lost")
	assert.Equal(t, 200, got.StatusCode)
	require.Eventually(t, func() bool { // among the clients that reconnect it may be asked to come again, which counts as no loss
		c, text := request(fmt.Sprint("new", time.Now().UnixNano()), "/look/new")
		defer c.Close()
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		got, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && got.StatusCode == 200
	}, 20*time.Second, 10*time.Millisecond)
}

// Many processes of a large fleet restart together without a list while discovery is down. When it recovers, discovery
// handles calls one at a time and refuses those that waited too long. Nine in ten processes must be ready within 10 s
// of their start.
func TestFleetRestartWhileDiscoveryIsBusy(t *testing.T) {
	const processes, down, maxQueueWait, callWork = 30, 5 * time.Second, time.Second, 50 * time.Millisecond
	w := &testEnv{T: t}
	endpoint := w.serve(func(rw http.ResponseWriter, r *http.Request) { io.WriteString(rw, "hello") })
	began, callMu := time.Now(), sync.Mutex{}
	discovery := w.serve(func(rw http.ResponseWriter, r *http.Request) {
		came := time.Now()
		callMu.Lock()
		if time.Since(began) < down || time.Since(came) > maxQueueWait {
			callMu.Unlock()
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(callWork)
		callMu.Unlock()
		io.WriteString(rw, endpointList(7, endpoint)+"\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	dir, ready := t.TempDir(), make(chan time.Duration, processes)
	for range processes {
		listen := freePort(t)
		started := time.Now()
		startSidecar(t, "", startFile(t, dir, listen, discovery, "null", 512, 350))
		go func() {
			for status := 0; status != 200 && time.Since(started) < 30*time.Second; time.Sleep(20 * time.Millisecond) {
				status, _ = get(listen, "/up")
			}
			ready <- time.Since(started)
		}()
	}
	late := 0
	for range processes {
		if took := <-ready; took > 10*time.Second {
			late++
		}
	}
	assert.LessOrEqual(t, late, processes/10)
}
