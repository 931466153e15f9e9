package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"github.com/lynxjunction/lynxjunction/logic"
)

// A file that mixes the settings of a sidecar for one client and of a pool would start a sidecar that neither shares
// its endpoints with other sidecars nor knows its own load. Such a file must be rejected.
func TestDeploymentSettingsMustNotBeMixed(t *testing.T) {
	const discovery, peers = `"discovery":"a:2",`, `"peers":["a:3","b:3"],`
	pool := `{"fleet-size":2,"me":1,"registry-mode":"pushed","allowed":{"peers":true,"multiplex":%s},"products":[{}]}`
	for _, c := range []struct{ name, keys, settings, fault, unsupported string }{
		{"sidecar for one client", discovery, `{"products":[{}]}`, "", ""},
		{"pool with lists on request", discovery + peers, `{"fleet-size":2,"allowed":{"peers":true},"products":[{}]}`, "",
			"settings.allowed.peers:"},
		{"pool with pushed lists", peers, fmt.Sprintf(pool, "1"), "", "settings.allowed.peers:"},
		{"pool with many exchanges on a connection", peers, fmt.Sprintf(pool, "100"), "", "settings.allowed.peers:"},
		{"pushed lists without an agent", "", `{"registry-mode":"pushed","products":[{}]}`, "", "discovery:"},
		{"peers that the settings do not allow", discovery + peers, `{"fleet-size":2,"products":[{}]}`, "peers:", ""},
		{"peers allowed but not listed", discovery, `{"fleet-size":2,"allowed":{"peers":true},"products":[{}]}`, "peers:", ""},
		{"too few peers", discovery + `"peers":["a:3"],`, `{"fleet-size":2,"allowed":{"peers":true},"products":[{}]}`, "peers:", ""},
		{"peer without an address", discovery + `"peers":["a:3",7],`, `{"fleet-size":2,"allowed":{"peers":true},"products":[{}]}`, "peers[1]:", ""},
		{"lists pushed to an agent", discovery, `{"registry-mode":"pushed","products":[{}]}`, "", ""},
		{"lists pushed to an agent without a port", `"discovery":"a",`, `{"registry-mode":"pushed","products":[{}]}`, "discovery", ""},
		{"many exchanges on a connection without a pool", discovery, `{"allowed":{"multiplex":100},"products":[{}]}`, "settings.allowed.multiplex:", ""},
		{"negative fleet size", discovery, `{"fleet-size":-2,"products":[{}]}`, "settings.fleet-size:", ""},
		{"no discovery", "", `{"products":[{}]}`, "discovery", ""},
	} {
		s, err := Decode([]byte(`{"seed":"1f","listen":"a:1",` + c.keys + `"settings":` + c.settings + `}`))
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.name)
			continue
		}
		if !assert.NoError(t, err, c.name) {
			continue
		}
		if c.unsupported == "" {
			assert.NoError(t, s.unsupported(), c.name)
			continue
		}
		assert.ErrorContains(t, s.unsupported(), c.unsupported, c.name)
		assert.Contains(t, s.String(), "can't serve: "+c.unsupported, c.name)
		assert.ErrorContains(t, s.Serve(context.Background(), zap.NewNop(), nil, nil), c.unsupported, c.name)
	}
}

func TestCostHint(t *testing.T) {
	for info, want := range map[string]float64{
		"": 0, "cost=12.5": 12.5, "a=1, cost=3 ,b=2": 3, "cost=": 0, "cost=-1": 0, "cost=nan": 0, "cost=+Inf": 0, "cost": 0, "costs=4": 0,
	} {
		assert.Equal(t, want, costHint(info), info)
	}
}

// udpMessenger is a messenger for tests: each message is a datagram that starts with the sender's number.
type udpMessenger struct {
	net.PacketConn
	me logic.PeerID
	to []net.Addr
}

func (d *udpMessenger) send(to logic.PeerID, text []byte) {
	d.WriteTo(append([]byte{byte(d.me)}, text...), d.to[to])
}

func (d *udpMessenger) receive(_ context.Context, each func(logic.PeerID, []byte)) {
	for b := make([]byte, 2048); ; {
		n, _, err := d.ReadFrom(b)
		if err != nil {
			return
		}
		if n > 0 {
			each(logic.PeerID(b[0]), b[1:n])
		}
	}
}

// linePusher is a pusher for tests that reads lists as lines of JSON from a connection.
type linePusher struct{ net.Conn }

func (p linePusher) follow(_ context.Context, each func(endpointList)) {
	for in := bufio.NewScanner(p); in.Scan(); {
		if i, err := decodeList(fastjson.MustParseBytes(in.Bytes())); err == nil {
			each(i)
		}
	}
}

// Of two sidecars in a pool to which lists are pushed, one must learn of the other's legs in flight and avoid that
// endpoint. Malformed datagrams, even many of them, must do no harm.
func TestPoolOnLoopback(t *testing.T) {
	slow, quick := newStubEndpoint(t, neverAnswer), newStubEndpoint(t, respondWith(okResponse, true))
	conns := make([]net.PacketConn, 2)
	addrs := make([]net.Addr, 2)
	for n := range conns {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		conns[n], addrs[n] = c, c.LocalAddr()
	}
	pool := make([]*testSidecar, 2)
	var pushConns [2]net.Conn
	for n := range pool {
		here, there := net.Pipe()
		pushConns[n] = here
		pool[n] = startSidecar(t, "null", func(s *Config) {
			s.terms.Peers, s.terms.Fleet, s.terms.SidecarNumber, s.terms.PullList = true, 2, logic.PeerID(n), false
			s.messenger = &udpMessenger{conns[n], logic.PeerID(n), addrs}
			s.pusher = linePusher{there}
		})
		t.Cleanup(func() { here.Close() })
	}
	push := func(list string) {
		for n := range pool {
			heard := pool[n].loop.counters.lists.Load()
			fmt.Fprintln(pushConns[n], list)
			eventually(t, "the list", func() bool { return pool[n].loop.counters.lists.Load() > heard })
		}
	}
	push(listOf(slow.Listener))
	assert.Zero(t, pool[0].loop.counters.listCallsEnded.Load(), "no call to discovery failed, since none is made")
	held := pool[0].dial()
	fmt.Fprint(held, requestText("1", "GET", "look/1", ""))
	eventually(t, "the other sidecar is notified of the leg", func() bool { return pool[1].loop.counters.messagesReceived.Load() > 0 })
	push(listOf(slow.Listener, quick.Listener))
	for n := range 5 {
		assert.Equal(t, 200, pool[1].status(requestText(fmt.Sprint("q", n), "GET", "look/1", "")), "the idle endpoint serves the request")
	}
	for _, text := range []string{"", "\x00", "\x00short", "\x00" + strings.Repeat("x", 11), "\x09" + strings.Repeat("y", 2000)} {
		for range 50 {
			conns[0].WriteTo([]byte(text), addrs[1])
		}
	}
	eventually(t, "a message that is too long is dropped", func() bool { return pool[1].loop.counters.messagesLost.Load() > 0 })
	assert.Equal(t, 200, pool[1].status(requestText("last", "GET", "look/1", "")))
	assert.Zero(t, pool[1].loop.counters.panics.Load())
}

// Where lists are pushed, the start file of every deployment names the agent that has them. A sidecar that rejected
// such a file never served there at all. The agent's watch must be opened at once, whatever is known and however large
// the fleet, and again as soon as it ends: the sidecar counts as notified of what the agent has.
func TestWatchOfTheListAgentIsFollowed(t *testing.T) {
	a, b := newStubEndpoint(t, respondWith(okResponse, true)), newStubEndpoint(t, respondWith(okResponse, true))
	end := make(chan bool)
	agent := newStubEndpoint(t, func(c net.Conn, q *http.Request) bool {
		c.Write([]byte(watchHead + chunk(listText(7, true, entryText("s0", a.Addr().String(), "terminating"),
			entryText("s1", b.Addr().String(), "in_service")))))
		<-end
		return false
	})
	defer close(end)
	text := strings.NewReplacer("%KNOWN%", listOf(a), "%SOCKETS%", "1024", `"registry-mode":"on_request"`, `"registry-mode":"pushed"`,
		`"fleet-size":1`, `"fleet-size":300`, "127.0.0.1:1", agent.Addr().String(), `"ask-within":1000.0`, `"drain-grace":300.0`).Replace(startText)
	s, err := Decode([]byte(text))
	require.NoError(t, err)
	require.NoError(t, s.unsupported())
	assert.Less(t, float64(s.terms.AskWithin), 300.0, "the agent is called again within the drain grace")
	r := startSidecar(t, listOf(a), func(t *Config) { t.Discovery, t.terms, t.names, t.listPushed = s.Discovery, s.terms, s.names, true })
	<-agent.received
	eventually(t, "the agent's list", func() bool { return r.loop.watchHeard.Load() })
	for n := range 4 {
		assert.Equal(t, 200, r.status(requestText(fmt.Sprint("p", n), "GET", "look/1", "")))
	}
	assert.Zero(t, a.requests.Load(), "requests to the draining endpoint")
	assert.EqualValues(t, 4, b.requests.Load())
	for range 5 {
		end <- true
		<-agent.received
	}
}
