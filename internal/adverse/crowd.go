package adverse

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Habit is what one client of a crowd does on a connection, again and again with new connections, until ctx ends. It returns
// when its connection is over.
type Habit func(ctx context.Context, w *World, conn *net.TCPConn)

// reconnectPause is the pause before a client of a crowd connects again.
const reconnectPause = 5 * time.Millisecond

// Crowd has count clients follow a habit until ctx ends.
func (w *World) Crowd(ctx context.Context, count int, habit Habit) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			for ctx.Err() == nil {
				w.followHabit(ctx, habit)
				time.Sleep(reconnectPause)
			}
		})
	}
	all.Wait()
}

func (w *World) followHabit(ctx context.Context, habit Habit) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.Listen)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	habit(ctx, w, conn.(*net.TCPConn))
}

// LongHeads sends whole requests with heads of so many fields of a size, one after the other.
func LongHeads(fields, size int) Habit {
	var head strings.Builder
	for n := range fields {
		fmt.Fprintf(&head, "%x:%s\r\n", n, strings.Repeat("x", max(size-len(":\r\n")-len(fmt.Sprintf("%x", n)), 0)))
	}
	return func(ctx context.Context, _ *World, conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			r := Request{ID: NewID("heads"), Class: SafeClass, Timeout: time.Second, Script: Script{Work: 20 * time.Millisecond}}
			text := strings.TrimSuffix(r.Text(), "\r\n") + head.String() + "\r\n"
			if _, err := io.WriteString(conn, text); err != nil || !skipAnswer(reader) {
				return
			}
		}
	}
}

// skipAnswer reads one answer and reports whether the connection can be used again.
func skipAnswer(reader *bufio.Reader) bool {
	got, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, got.Body)
	return err == nil && !got.Close
}

// HalfRequests sends half of a long request and then nothing more.
func HalfRequests(size int) Habit {
	return func(_ context.Context, _ *World, conn *net.TCPConn) {
		r := Request{ID: NewID("half"), Class: UnsafeClass, Timeout: time.Second, Body: size}
		text := r.Text()
		if _, err := io.WriteString(conn, text[:len(text)-size/2]); err == nil {
			io.Copy(io.Discard, conn)
		}
	}
}

// HalfHeads sends a head of a size that never ends.
func HalfHeads(size int) Habit {
	return func(_ context.Context, _ *World, conn *net.TCPConn) {
		r := Request{ID: NewID("head"), Class: SafeClass, Timeout: time.Second}
		if _, err := io.WriteString(conn, strings.TrimSuffix(r.Text(), "\r\n")+"A: "+strings.Repeat("x", size)); err == nil {
			io.Copy(io.Discard, conn)
		}
	}
}

// Pipelines send a request that takes long with many behind it.
func Pipelines(behind int) Habit {
	return func(_ context.Context, _ *World, conn *net.TCPConn) {
		var text strings.Builder
		for range behind + 1 {
			r := Request{ID: NewID("pipe"), Class: KeyedClass, Timeout: time.Second, Body: 300, Script: Script{Work: 200 * time.Millisecond}}
			text.WriteString(r.Text())
		}
		if _, err := io.WriteString(conn, text.String()); err == nil {
			io.Copy(io.Discard, conn)
		}
	}
}

// InTurn has the clients of a crowd follow several habits, each the next one.
func InTurn(habits ...Habit) Habit {
	var next atomic.Int64
	return func(ctx context.Context, w *World, conn *net.TCPConn) {
		habits[int(next.Add(1))%len(habits)](ctx, w, conn)
	}
}

// SlowReaders ask for a long answer and read it slowly.
func SlowReaders(size, bytesPerSecond int) Habit {
	return func(_ context.Context, _ *World, conn *net.TCPConn) {
		conn.SetReadBuffer(16 << 10)
		r := Request{ID: NewID("reader"), Class: SafeClass, Timeout: time.Second, Script: Script{Work: 20 * time.Millisecond, AnswerSize: size}}
		if _, err := io.WriteString(conn, r.Text()); err != nil {
			return
		}
		const steps = 20
		for {
			if _, err := io.CopyN(io.Discard, conn, int64(bytesPerSecond/steps)); err != nil {
				return
			}
			time.Sleep(time.Second / steps)
		}
	}
}

// SlowWriters send chunked requests at a slow rate.
func SlowWriters(size, bytesPerSecond int) Habit {
	return func(ctx context.Context, _ *World, conn *net.TCPConn) {
		r := Request{ID: NewID("writer"), Class: UnsafeClass, Timeout: time.Second, Body: size, Chunked: true}
		const steps = 20
		for text := r.Text(); len(text) > 0 && ctx.Err() == nil; time.Sleep(time.Second / steps) {
			piece := text[:min(len(text), bytesPerSecond/steps)]
			text = text[len(piece):]
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
		}
		skipAnswer(bufio.NewReader(conn))
	}
}

// Flood sends the same text at full speed, many times in a write, and reads what it is sent.
func Flood(text func() string, perWrite int) Habit {
	return func(ctx context.Context, _ *World, conn *net.TCPConn) {
		go io.Copy(io.Discard, conn)
		for ctx.Err() == nil {
			var batch strings.Builder
			for range perWrite {
				batch.WriteString(text())
			}
			if _, err := io.WriteString(conn, batch.String()); err != nil {
				return
			}
		}
	}
}
