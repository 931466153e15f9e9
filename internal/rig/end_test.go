package rig

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// outOfDescriptors is a listener whose one accept fails, when it is told to, as it does where no descriptor is left.
type failingListener struct {
	net.Listener
	fail chan bool
}

func (l failingListener) Accept() (net.Conn, error) {
	<-l.fail
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// heard lets its owner know of each complaint before the rig hears it.
type notifyingWriter struct {
	io.Writer
	writes chan bool
}

func (h notifyingWriter) Write(text []byte) (int, error) {
	h.writes <- true
	return h.Writer.Write(text)
}

// A server tells that descriptors ran out while the rig is being taken down, and the rig waits for that server: neither may wait
// for the other. The rig is held at the end of a process of its own until the complaint is on its way.
func TestServerErrorDuringTearDownDoesNotDeadlock(t *testing.T) {
	_, stop := context.WithCancelCause(t.Context())
	r := &Rig{cancel: stop}
	r.listServer = r.newListServer()
	written := make(chan bool, 10)
	r.listServer.httpServer.ErrorLog = log.New(notifyingWriter{serverErrors{r}, written}, "", 0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := failingListener{ln, make(chan bool)}
	served := make(chan error, 1)
	go func() { served <- r.listServer.httpServer.Serve(listener) }()

	c := exec.Command("sleep", "60")
	require.NoError(t, c.Start())
	p := &process{Cmd: c, ended: make(chan struct{})}
	r.processes = []*process{p}
	tornDown := make(chan bool)
	go func() { r.tearDown(); close(tornDown) }()
	c.Wait() // end has killed it, and waits to be told of that
	listener.fail <- true
	<-written
	close(p.ended)
	close(listener.fail)
	select {
	case <-tornDown:
	case <-time.After(20 * time.Second):
		t.Fatal("the rig waits for its server, and that for the rig")
	}
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	assert.ErrorContains(t, r.firstErr, "descriptors ran out")
}
