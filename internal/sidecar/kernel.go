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
type sight int

const (
	nothing sight = iota // it is open, and all that came was read
	unread               // bytes wait in the kernel
	ended                // its client closed its sending, or reset it; bytes may wait before that
)

const closeWait, closed = 8, 7 // of the kernel's states of a connection

// unreadLeast is the wait of bytes in the kernel that counts. The kernel counts in ticks of up to 10 ms.
const unreadLeast = 20 * time.Millisecond

// query is the means of asking; they are kept, since the ordinary path must not allocate.
type query struct {
	look, age, head func(fd uintptr)
	seen            sight
	waited          time.Duration
	whole           bool
	bytes           [headFirst]byte
	info            unix.TCPInfo
}

var queries = sync.Pool{New: func() any {
	q := &query{}
	q.look, q.age, q.head = q.lookAt, q.ageOf, q.headOf
	return q
}}

// askInfo asks for TCP_INFO (tcp(7)), and tells whether it was answered.
func (q *query) askInfo(fd uintptr) bool {
	q.info = unix.TCPInfo{}
	size := uint32(unsafe.Sizeof(q.info))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, fd, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&q.info)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0 && size >= uint32(unsafe.Offsetof(q.info.Last_data_recv)+unsafe.Sizeof(q.info.Last_data_recv))
}

func (q *query) lookAt(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.bytes[:1], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch q.seen = nothing; {
	case err == syscall.EAGAIN || err == syscall.EINTR:
	case err != nil || n <= 0:
		q.seen = ended
	default: // the end may stand behind what waits
		q.seen = unread
		if q.askInfo(fd) && (q.info.State == closeWait || q.info.State == closed) {
			q.seen = ended
		}
	}
}

func (q *query) ageOf(fd uintptr) {
	q.waited = 0
	if q.askInfo(fd) {
		q.waited = time.Duration(q.info.Last_data_recv) * time.Millisecond
	}
}

func (q *query) headOf(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), q.bytes[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	q.whole = err == nil && n > 0 && (headEnd(q.bytes[:n]) > 0 || n == len(q.bytes))
}

// look asks the kernel, beside whoever reads.
func (c *client) look() sight {
	if c.raw == nil {
		return nothing
	}
	q := queries.Get().(*query)
	defer queries.Put(q)
	if c.raw.Control(q.look) != nil {
		return ended
	}
	return q.seen
}

// unreadFor is how long the last bytes that came have been here; 0 for a short while.
func (c *client) unreadFor() time.Duration {
	if c.raw == nil {
		return 0
	}
	q := queries.Get().(*query)
	defer queries.Put(q)
	if c.raw.Control(q.age) != nil || q.waited < unreadLeast {
		return 0
	}
	return q.waited
}

// headWaits tells whether the head of a request waits whole.
func (c *client) headWaits() bool {
	if c.raw == nil {
		return false
	}
	q := queries.Get().(*query)
	defer queries.Put(q)
	return c.raw.Control(q.head) == nil && q.whole
}

// deferTime is for how long the kernel holds back a connection on which nothing has come: a crowd of silent clients then takes no
// descriptors. It counts retransmissions, the first of them a second after the client's first packet.
const deferTime = time.Second

// deferAccept has the kernel hold back connections on which nothing has come (TCP_DEFER_ACCEPT, tcp(7)), and tells whether it does.
func deferAccept(ln syscall.Conn) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	var refused error
	err = raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(deferTime/time.Second))
	})
	return err == nil && refused == nil
}

// acceptQueue is how many connections wait to be accepted at a listener; 0 where that is not known. Of a listener, TCP_INFO tells this
// as unacknowledged packets.
func acceptQueue(ln *net.TCPListener) (waiting int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return 0
	}
	q := queries.Get().(*query)
	defer queries.Put(q)
	const listening = 10 // of the kernel's states
	err = raw.Control(func(fd uintptr) {
		if q.askInfo(fd) && q.info.State == listening {
			waiting = int(q.info.Unacked)
		}
	})
	if err != nil {
		return 0
	}
	return waiting
}
