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

// failingListener is a listener whose Accept fails as if the process were out of file descriptors, when something is
// received from fail.
type failingListener struct {
	net.Listener
	fail chan bool
}

func (l failingListener) Accept() (net.Conn, error) {
	<-l.fail
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// notifyingWriter signals each write before it passes the text on.
type notifyingWriter struct {
	io.Writer
	writes chan bool
}

func (h notifyingWriter) Write(text []byte) (int, error) {
	h.writes <- true
	return h.Writer.Write(text)
}

// Guards against a deadlock when a server reports that descriptors ran out while the rig is torn down and waits for that
// server. The test holds up the tear-down at the end of a process until the report is under way.
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
	c.Wait() // tearDown has killed it and waits for p.ended
	listener.fail <- true
	<-written
	close(p.ended)
	close(listener.fail)
	select {
	case <-tornDown:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock: the rig's tear-down did not end within 20 s")
	}
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	assert.ErrorContains(t, r.firstErr, "descriptors ran out")
}
