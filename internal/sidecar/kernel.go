// Kernel: what the kernel knows of connections and of the listener beyond what is read from them. Nothing here reads a byte. Where a
// question is not answered, as on other kinds of sockets, the answer is the one that changes nothing.
package sidecar

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// sight is what a look at a connection showed.
type connState int

const (
	connOpen   connState = iota // it is open, and all that came was read
	connUnread                  // bytes wait in the kernel
	connEnded                   // its client closed its sending, or reset it; bytes may wait before that
)

const tcpStateCloseWait, tcpStateClosed = 8, 7 // of the kernel's states of a connection

// unreadLeast is the wait of bytes in the kernel that counts. The kernel counts in ticks of up to 10 ms.
const minUnreadAge = 20 * time.Millisecond

// query is the means of asking; they are kept, since the ordinary path must not allocate.
type socketQuery struct {
	peekFunc, ageFunc, headFunc func(fd uintptr)
	state                       connState
	unreadAge                   time.Duration
	headComplete                bool
	peekBuffer                  [initialHeadBytes]byte
	info                        unix.TCPInfo
}

var socketQueries = sync.Pool{New: func() any {
	q := &socketQuery{}
	q.peekFunc, q.ageFunc, q.headFunc = q.peek, q.readAge, q.peekHead
	return q
}}

// askInfo asks for TCP_INFO (tcp(7)), and tells whether it was answered.
func (q *socketQuery) askInfo(fd uintptr) bool {
	q.info = unix.TCPInfo{}
	size := uint32(unsafe.Sizeof(q.info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&q.info)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && size >= uint32(unsafe.Offsetof(q.info.Last_data_recv)+unsafe.Sizeof(q.info.Last_data_recv))
}

func (q *socketQuery) peek(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.peekBuffer[:1], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch q.state = connOpen; {
	case err == syscall.EAGAIN || err == syscall.EINTR:
	case err != nil || n <= 0:
		q.state = connEnded
	default: // the end may stand behind what waits
		q.state = connUnread
		if q.askInfo(fd) && (q.info.State == tcpStateCloseWait || q.info.State == tcpStateClosed) {
			q.state = connEnded
		}
	}
}

func (q *socketQuery) readAge(fd uintptr) {
	q.unreadAge = 0
	if q.askInfo(fd) {
		q.unreadAge = time.Duration(q.info.Last_data_recv) * time.Millisecond
	}
}

func (q *socketQuery) peekHead(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	q.headComplete = err == nil && n > 0 && (headEnd(q.peekBuffer[:n]) > 0 || n == len(q.peekBuffer))
}

// look asks the kernel, beside whoever reads.
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

// unreadFor is how long the last bytes that came have been here; 0 for a short while.
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

// headWaits tells whether the head of a request waits whole.
func (c *clientConn) headIsComplete() bool {
	if c.raw == nil {
		return false
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	return c.raw.Control(q.headFunc) == nil && q.headComplete
}

// deferTime is for how long the kernel holds back a connection on which nothing has come: a crowd of silent clients then takes no
// descriptors. It counts retransmissions, the first of them a second after the client's first packet.
const acceptDeferTime = time.Second

// deferAccept has the kernel hold back connections on which nothing has come (TCP_DEFER_ACCEPT, tcp(7)), and tells whether it does.
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

// acceptQueue is how many connections wait to be accepted at a listener; 0 where that is not known. Of a listener, TCP_INFO tells this
// as unacknowledged packets.
func acceptQueueLength(ln *net.TCPListener) (waiting int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return 0
	}
	q := socketQueries.Get().(*socketQuery)
	defer socketQueries.Put(q)
	const tcpStateListen = 10 // of the kernel's states
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
