// This file asks the kernel about connections and the listener. Nothing here consumes a byte of a connection's data. Where the
// kernel does not answer, as for other kinds of sockets, the functions return the result that changes nothing for the caller.

package sidecar

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// connState is what the kernel shows of a connection.
type connState int

const (
	connOpen   connState = iota // it is open, and all data that arrived was read
	connUnread                  // unread data waits in the kernel
	connEnded                   // the client closed its sending side or reset the connection; unread data may precede that
)

// Connection states as TCP_INFO gives them.
const (
	tcpStateCloseWait = 8
	tcpStateClosed    = 7
)

// minUnreadAge is the shortest wait of unread data that is taken into account: the kernel's resolution is up to 10 ms.
const minUnreadAge = 20 * time.Millisecond

// socketQuery holds the buffers and functions for one query of a socket, and its result. They are pooled, since the normal
// request path must not allocate.
type socketQuery struct {
	// The methods peek, readAge and peekHead as function values.
	peekFunc, ageFunc, headFunc func(fd uintptr)

	state        connState
	unreadAge    time.Duration
	headComplete bool
	peekBuffer   [initialHeadBytes]byte
	info         unix.TCPInfo
}

var socketQueries = sync.Pool{New: func() any {
	q := &socketQuery{}
	q.peekFunc, q.ageFunc, q.headFunc = q.peek, q.readAge, q.peekHead
	return q
}}

// askInfo reads TCP_INFO (tcp(7)) into q.info. It reports whether the kernel returned it up to the fields that are used.
func (q *socketQuery) askInfo(fd uintptr) bool {
	q.info = unix.TCPInfo{}
	size := uint32(unsafe.Sizeof(q.info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&q.info)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && size >= uint32(unsafe.Offsetof(q.info.Last_data_recv)+unsafe.Sizeof(q.info.Last_data_recv))
}

// peek sets q.state.
func (q *socketQuery) peek(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.peekBuffer[:1], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch q.state = connOpen; {
	case err == syscall.EAGAIN || err == syscall.EINTR:
	case err != nil || n <= 0:
		q.state = connEnded
	default: // the client may have closed after the unread data
		q.state = connUnread
		if q.askInfo(fd) && (q.info.State == tcpStateCloseWait || q.info.State == tcpStateClosed) {
			q.state = connEnded
		}
	}
}

// readAge sets q.unreadAge to the time since data last arrived.
func (q *socketQuery) readAge(fd uintptr) {
	q.unreadAge = 0
	if q.askInfo(fd) {
		q.unreadAge = time.Duration(q.info.Last_data_recv) * time.Millisecond
	}
}

// peekHead sets q.headComplete. A head that fills the peek buffer counts as complete.
func (q *socketQuery) peekHead(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	q.headComplete = err == nil && n > 0 && (headEnd(q.peekBuffer[:n]) > 0 || n == len(q.peekBuffer))
}

// peekState returns the connection's state. It may be called while another goroutine reads from the connection.
func (c *clientConn) peekState() connState {
	if c.raw == nil {
		return connOpen
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	if c.raw.Control(q.peekFunc) != nil {
		return connEnded
	}
	return q.state
}

// unreadFor returns how long ago the last data arrived; 0 if that is less than minUnreadAge.
func (c *clientConn) unreadFor() time.Duration {
	if c.raw == nil {
		return 0
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	if c.raw.Control(q.ageFunc) != nil || q.unreadAge < minUnreadAge {
		return 0
	}
	return q.unreadAge
}

// wasReset reports whether a connection whose end was read had been reset, and not closed in order by its peer.
func wasReset(conn net.Conn) (reset bool) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	err = raw.Control(func(fd uintptr) {
		reset = q.askInfo(fd) && q.info.State == tcpStateClosed
	})
	return err == nil && reset
}

// sendQueue returns how many of the bytes that were written to a connection have not been sent, and how many its peer's kernel
// has not acknowledged, the former among them; 0 if unknown. Bytes remain unsent for as long as the peer has no room for them.
func (k *endpointConn) sendQueue() (unsent, unacknowledged int) {
	s, ok := k.conn.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, 0
	}
	raw.Control(func(fd uintptr) {
		unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return unsent, unacknowledged
}

// unreadBytes returns how many bytes wait unread; 0 if unknown.
func (c *clientConn) unreadBytes() int64 {
	if c == nil || c.raw == nil {
		return 0
	}
	unread := 0
	err := c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return int64(unread)
}

// growReceiveWindow has the kernel make room for n unread bytes. A reader that wants to be woken for so many at once
// (SO_RCVLOWAT, socket(7)) is given that room, up to half of the maximum in net.ipv4.tcp_rmem and with no privilege; the
// room stays when the reader wants to be woken for each byte again. SO_RCVBUF would stop at net.core.rmem_max, which is
// less, and end the kernel's own tuning. A kernel that makes no room keeps its own window.
func (c *clientConn) growReceiveWindow(n int) {
	if c.raw == nil {
		return
	}
	c.raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, n)
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1)
	})
}

// headIsComplete reports whether the complete head of a request waits unread.
func (c *clientConn) headIsComplete() bool {
	if c.raw == nil {
		return false
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	return c.raw.Control(q.headFunc) == nil && q.headComplete
}

// acceptDeferTime is how long the kernel holds back a connection on which no data has arrived, so that a flood of silent
// clients takes no descriptors. The kernel counts in retransmissions, the first of them a second after the client's first
// packet.
const acceptDeferTime = time.Second

// deferAccept has the kernel hold back connections on which no data has arrived (TCP_DEFER_ACCEPT, tcp(7)). It reports whether
// the kernel does so.
func deferAccept(ln syscall.Conn) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(acceptDeferTime/time.Second))
	})
	return err == nil && optErr == nil
}

// acceptQueueLength returns how many connections wait to be accepted at a listener; 0 if unknown. For a listener, TCP_INFO has
// this number in the field of unacknowledged packets.
func acceptQueueLength(ln *net.TCPListener) (waiting int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return 0
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	const tcpStateListen = 10 // as TCP_INFO gives it
	err = raw.Control(func(fd uintptr) {
		if q.askInfo(fd) && q.info.State == tcpStateListen {
			waiting = int(q.info.Unacked)
		}
	})
	if err != nil {
		return 0
	}
	return waiting
}
