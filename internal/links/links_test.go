package links

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const noAnswerWait = 150 * time.Millisecond // after which data that must not arrive counts as not arrived; it would have come long before
const ioTimeout = 20 * time.Second

// startEchoServer starts a TCP server that sends back what it gets, and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// roundTrip sends a line and reads a line back.
func roundTrip(c net.Conn, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintln(c, "hello"); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func TestTCPFaults(t *testing.T) {
	l, err := New("127.0.0.1:0", startEchoServer(t), 1)
	require.NoError(t, err)
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", l.Addr(), ioTimeout)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	open := dial()
	require.NoError(t, roundTrip(open, ioTimeout))

	l.Set(1, Fault{Silent: true})
	assert.ErrorContains(t, roundTrip(open, noAnswerWait), "timeout", "an open connection stays open and carries no data")
	_, err = net.DialTimeout("tcp", l.Addr(), noAnswerWait)
	assert.ErrorContains(t, err, "timeout", "a new connection is not established")
	l.Set(2, Fault{Silent: true, Direction: ToClient}) // two overlapping faults, of which the first one ends first
	l.Clear(1)
	assert.ErrorContains(t, roundTrip(open, noAnswerWait), "timeout")
	l.Clear(2)
	open.SetDeadline(time.Now().Add(ioTimeout))
	_, err = bufio.NewReader(open).ReadString('\n')
	assert.NoError(t, err, "data that was sent arrives when the link works again")
	require.NoError(t, roundTrip(dial(), ioTimeout))

	l.Set(3, Fault{Cut: true})
	assert.Error(t, roundTrip(open, ioTimeout))
	_, err = net.DialTimeout("tcp", l.Addr(), ioTimeout)
	assert.ErrorContains(t, err, "refused")
	l.Clear(3)
	open = dial()
	require.NoError(t, roundTrip(open, ioTimeout))

	l.Reset()
	assert.ErrorContains(t, roundTrip(open, ioTimeout), "reset")

	for _, f := range []Fault{{Delay: 60 * time.Millisecond}, {Delay: 50 * time.Millisecond, Jitter: 20 * time.Millisecond, Direction: ToServer}, {BytesPerSecond: 100, Direction: ToClient}} {
		open = dial()
		l.Set(4, f)
		began := time.Now()
		require.NoError(t, roundTrip(open, ioTimeout))
		assert.Greater(t, time.Since(began), 49*time.Millisecond, "%+v", f)
		l.Clear(4)
	}
	l.Set(5, Fault{Loss: 1, Direction: ToClient})
	assert.Error(t, roundTrip(dial(), ioTimeout), "reset as the answer arrives")
	l.Clear(5)
	require.NoError(t, roundTrip(dial(), ioTimeout))
}

func TestUDPFaults(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	d, err := NewDatagrams("127.0.0.1:0", server.LocalAddr().String(), 1)
	require.NoError(t, err)
	defer d.Close()
	c, err := net.Dial("udp", d.Addr())
	require.NoError(t, err)
	defer c.Close()
	// send sends count datagrams under a fault, then an end mark without faults, and returns the datagrams that arrived
	// before the mark.
	send := func(f Fault, count int) (received []string) {
		d.Set(1, f)
		for n := range count {
			fmt.Fprint(c, n)
			time.Sleep(time.Millisecond / 4) // so that the kernel's buffers lose none
		}
		time.Sleep(20 * time.Millisecond)
		d.Clear(1)
		buffer := make([]byte, 100)
		server.SetReadDeadline(time.Now().Add(ioTimeout))
		for marked := false; ; {
			if !marked {
				fmt.Fprint(c, "end")
				marked = true
			}
			n, from, err := server.ReadFrom(buffer)
			require.NoError(t, err)
			if string(buffer[:n]) == "end" {
				server.WriteTo([]byte("ok"), from)
				c.SetReadDeadline(time.Now().Add(ioTimeout))
				_, err := c.Read(buffer)
				require.NoError(t, err, "answers get back to the sender")
				return received
			}
			received = append(received, string(buffer[:n]))
		}
	}
	assert.Len(t, send(Fault{}, 50), 50)
	assert.Empty(t, send(Fault{Silent: true}, 50))
	lost := len(send(Fault{Loss: 0.5}, 200))
	assert.InDelta(t, 100, lost, 42, "six standard deviations")
	assert.InDelta(t, 150, len(send(Fault{Duplicate: 0.5}, 100)), 30)
	assert.Equal(t, []string{"1", "0", "3", "2"}, send(Fault{Reorder: 1}, 4), "every second one is overtaken by the next")
	assert.Empty(t, send(Fault{Cut: true, Direction: ToServer}, 5))
}

func TestLoopbackOnly(t *testing.T) {
	_, err := New("0.0.0.0:0", "127.0.0.1:1", 1)
	assert.ErrorContains(t, err, "not loopback")
	_, err = NewDatagrams("0.0.0.0:0", "127.0.0.1:1", 1)
	assert.ErrorContains(t, err, "not loopback")
}
