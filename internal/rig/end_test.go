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
type outOfDescriptors struct {
	net.Listener
	now chan bool
}

func (l outOfDescriptors) Accept() (net.Conn, error) {
	<-l.now
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// heard lets its owner know of each complaint before the rig hears it.
type heard struct {
	io.Writer
	of chan bool
}

func (h heard) Write(text []byte) (int, error) {
	h.of <- true
	return h.Writer.Write(text)
}

// A server tells that descriptors ran out while the rig is being taken down, and the rig waits for that server: neither may wait
// for the other. The rig is held at the end of a process of its own until the complaint is on its way.
func TestComplaintWhileTheRigEnds(t *testing.T) {
	_, stop := context.WithCancelCause(t.Context())
	r := &Rig{stop: stop}
	r.lists = r.newLists()
	of := make(chan bool, 10)
	r.lists.web.ErrorLog = log.New(heard{complaints{r}, of}, "", 0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	full := outOfDescriptors{ln, make(chan bool)}
	served := make(chan error, 1)
	go func() { served <- r.lists.web.Serve(full) }()

	c := exec.Command("sleep", "60")
	require.NoError(t, c.Start())
	p := &process{Cmd: c, ended: make(chan struct{})}
	r.all = []*process{p}
	over := make(chan bool)
	go func() { r.end(); close(over) }()
	c.Wait() // end has killed it, and waits to be told of that
	full.now <- true
	<-of
	close(p.ended)
	close(full.now)
	select {
	case <-over:
	case <-time.After(20 * time.Second):
		t.Fatal("the rig waits for its server, and that for the rig")
	}
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	assert.ErrorContains(t, r.fault, "descriptors ran out")
}
