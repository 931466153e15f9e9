// This file streams requests that are too long to be buffered: from their client, at the minimum rate that it must keep, to an
// endpoint. It must never repair a broken transfer, or write the last byte of a request that is not whole.

package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/lynxjunction/lynxjunction/logic"
)

const (
	headReadTimeout       = 2400 * time.Millisecond // from connecting, or from a request's first byte, to the end of its head
	bodyStartTimeout      = 1500 * time.Millisecond // from the head to the first byte of the body
	minBodyBytesPerSecond = 44 << 10                // after bodyStartTimeout; clients need not send as much as 64 kB/s
	maxBodySilence        = 2200 * time.Millisecond // between two parts of a body, however fast it came before
	bodyDiscardTime       = 3 * time.Second         // for reading the rest of a request that was answered before its end
)

// minRateReader reads a client's body and fails if the body falls behind the minimum rate, or nothing comes for maxBodySilence.
// startBy is moved on by the time in which the sidecar did not read: the client is not charged for it.
type minRateReader struct {
	source        io.Reader
	control       *http.ResponseController
	startBy       time.Time // deadline of the first byte
	receivedBytes int64
}

// Read reads from the client until the time by which more than the bytes received so far is due at the minimum rate.
func (p *minRateReader) Read(b []byte) (int, error) {
	dueBy := p.startBy.Add(time.Duration(float64(p.receivedBytes) / minBodyBytesPerSecond * float64(time.Second)))
	if silentUntil := time.Now().Add(maxBodySilence); p.receivedBytes > 0 && silentUntil.Before(dueBy) {
		dueBy = silentUntil // a client that was ahead of the rate has stopped
	}
	p.control.SetReadDeadline(dueBy)
	n, err := p.source.Read(b)
	p.receivedBytes += int64(n)
	return n, err
}

// streamedRequest is the body of a request that is passed on to an endpoint while it arrives.
type streamedRequest struct {
	*bodyPipe
	length    int64                     // -1 if unknown
	firstRead atomic.Pointer[time.Time] // when its first part was read from the client
	arrivals  arrivalLog
}

// receiveBody reads a streamed request from its client until its end. If the pipe's reader takes no more, the rest is read
// and discarded for a while: otherwise the client would find its connection reset before it has read its answer.
func (s *clientServer) receiveBody(x *exchange, body *streamedRequest, source *minRateReader) (err error) {
	chunk, discardUntil := make([]byte, s.descriptors.memory.chunkBytes()), time.Time{}
	for err == nil && (discardUntil.IsZero() || time.Now().Before(discardUntil)) {
		var n int
		readStart := time.Now()
		body.arrivals.startRead()
		n, err = source.Read(chunk)
		writeStart := time.Now()
		body.arrivals.endRead(writeStart, n, writeStart.Sub(readStart), x.client.unreadBytes)
		body.firstRead.CompareAndSwap(nil, &writeStart)
		if n > 0 && discardUntil.IsZero() && body.write(chunk[:n]) != nil {
			discardUntil = time.Now().Add(bodyDiscardTime)
			source.startBy = source.startBy.Add(time.Since(writeStart))
			continue
		}
		source.startBy = source.startBy.Add(time.Since(writeStart)) // waiting for the endpoint is not charged to the client
	}
	if err == io.EOF {
		x.deadline.setReceived(x.client.earlierReceipt(time.Now()))
		s.loop.post(requestReceived{x})
		source.control.SetReadDeadline(time.Time{})
		if x.client != nil {
			x.client.bodyEndRead.Store(true)
		}
		body.close(io.EOF)
		return nil
	}
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	body.close(err)
	return err
}

// runStreamed sends a streamed request and reads its answer. If the endpoint answers before the request's end, it did not
// start to process the request.
func (u *upstream) runStreamed(k *endpointConn, g *leg, head net.Buffers) (r *reply, keepOpen bool, fault *legError) {
	g.uploading.Store(true)
	k.conn.SetDeadline(time.Time{})
	sending := &upload{leg: g, conn: k, done: make(chan struct{})}
	sending.ctx, sending.cancel = context.WithCancel(g.ctx)
	defer sending.cancel()
	g.upload = sending
	go func() {
		defer close(sending.done)
		sending.stage, sending.err = sending.run(u.counters, head)
		if sending.err != nil && g.ctx.Err() == nil {
			k.conn.SetReadDeadline(time.Now().Add(u.stallTimeout / 5)) // the endpoint may have answered why it stopped reading
		}
	}()
	r, keepOpen, fault = k.readAnswer(g)
	err := sending.end()
	switch {
	case err == nil:
		return r, keepOpen, fault
	case g.ctx.Err() != nil:
		return nil, false, newLegError(sending.stage, err, true)
	case isWithheld(err):
		return nil, false, withheld(err)
	case fault == nil || fault.cause == errEarlyAnswer: // a successful answer to a request that was not sent whole
		return nil, false, &legError{stage: answered, outcome: logic.Errored, cause: errEarlyAnswer}
	case fault.outcome == logic.Full:
		return nil, false, fault
	}
	return nil, false, newLegError(writing, err, false)
}

// upload is the sending of a streamed request.
type upload struct {
	leg    *leg
	conn   *endpointConn
	ctx    context.Context // ends with the leg, and when the upload is broken off
	cancel context.CancelFunc
	done   chan struct{} // closed when it has ended; stage and err are set before

	stage legStage // how far the leg came
	err   error    // nil if the request's last byte was written
}

// end is called when the answer has come: it breaks off an upload that is still going on, and returns nil if all of the request
// was written.
func (s *upload) end() error {
	select {
	case <-s.done:
	default:
		s.cancel()
		s.leg.request.remaining.discard()
		s.conn.conn.SetWriteDeadline(time.Unix(1, 0))
		<-s.done
	}
	return s.err
}

// run writes a streamed request. The time for the answer runs from the request's last byte.
func (s *upload) run(counters *Counters, head net.Buffers) (legStage, error) {
	g, conn := s.leg, s.conn.conn
	s.extendWriteDeadline()
	if _, err := head.WriteTo(conn); err != nil {
		return writing, err
	}
	lastBytes, err := s.writeAllButLast()
	if err != nil {
		return writing, err
	}
	if err := s.conn.awaitSent(func(*endpointConn) error { return s.ctx.Err() }); err != nil {
		return writing, err
	}
	if err := g.checkRequired(); err != nil { // all of the request is read, so that its client's close can be seen
		return writing, err
	}
	if err := g.gate().commit(g, s.conn); err != nil {
		return writing, err
	}
	if _, err := conn.Write(lastBytes); err != nil {
		return writing, err
	}
	counters.product(g.request.product).legs.Add(1)
	g.uploading.Store(false)
	if g.onRequestWritten != nil {
		g.onRequestWritten()
	}
	conn.SetReadDeadline(g.currentDeadline())
	if g.ctx.Err() != nil {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
	return written, nil
}

// extendWriteDeadline gives the next part of the request its time, unless the upload has been broken off.
func (s *upload) extendWriteDeadline() {
	s.conn.conn.SetWriteDeadline(time.Now().Add(streamStallTimeout))
	if s.ctx.Err() != nil {
		s.conn.conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// writeAllButLast writes the body of a streamed request while it arrives, but for the last bytes, which it returns: the last byte
// of a body with a length, the end of a body in chunks. Without them an endpoint does not have the request and does not run it.
func (s *upload) writeAllButLast() (lastBytes []byte, err error) {
	g, conn, body := s.leg, s.conn.conn, s.leg.request.remaining
	write, unwritten := conn.Write, body.length
	if body.length < 0 {
		write = func(p []byte) (int, error) { return writeChunk(conn, p) }
		lastBytes = []byte("0\r\n\r\n")
	}
	if first := g.request.body; len(first) > 0 {
		if _, err := write(first); err != nil {
			return nil, err
		}
	}
	var data []byte
	for passedOn := false; ; passedOn = true {
		data, err = body.read(data)
		if err == io.EOF {
			return lastBytes, nil
		}
		if err != nil {
			return nil, err
		}
		if !passedOn && g.onUnrepeatable != nil {
			g.onUnrepeatable()
		}
		part := data
		if unwritten -= int64(len(data)); unwritten == 0 {
			lastBytes, part = []byte{data[len(data)-1]}, data[:len(data)-1]
		}
		s.extendWriteDeadline()
		if _, err := write(part); err != nil {
			return nil, err
		}
	}
}

// writeChunk writes p as one chunk.
func writeChunk(w io.Writer, p []byte) (int, error) {
	text := net.Buffers{[]byte(fmt.Sprintf("%x\r\n", len(p))), p, []byte("\r\n")}
	n, err := text.WriteTo(w)
	return int(n), err
}
