package adverse

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lastDataAt returns when the last data of a connection came, by the kernel: a reader that is held up does not change it.
func lastDataAt(conn net.Conn) time.Time {
	now := time.Now()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return now
	}
	var info *unix.TCPInfo
	raw.Control(func(fd uintptr) {
		now = time.Now()
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if info == nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// peerClosed reports whether the peer of a connection has reset it, or has closed it and all that it sent was read.
func peerClosed(conn net.Conn) (closed bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return closed || err != nil
}

// residentBytes returns the resident memory of a process, 0 if it is gone.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		value, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kib << 10
	}
	return 0
}

// folderBytes returns the size of the files in a folder.
func folderBytes(dir string) (total int64) {
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
	}
	return total
}
