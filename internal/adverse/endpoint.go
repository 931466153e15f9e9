// Package adverse plays hostile and slow clients, slow endpoints and replaced processes against real sidecar processes on
// loopback, beside clients that behave as usual. Its verdicts come from what its own clients and endpoints saw and from the
// kernel's figures of the processes, never from the sidecar's counters.
package adverse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Framing is how an answer states the end of its body.
type Framing string

// The framings of HTTP/1.1.
const (
	ByLength Framing = "length"
	Chunked  Framing = "chunked"
	ByClose  Framing = "close"
)

// Script is what an endpoint does with one request. Its client states it in the query of the request's target.
type Script struct {
	Work       time.Duration   // from the request's last byte to the answer
	AnswerSize int             // bytes of the answer's body; 0 for a short one
	Framing    Framing         // of the answer; "" for ByLength
	Pauses     []time.Duration // after the answer's head, and after each further piece of pieceBytes
	ReadLimit  int             // bytes of the request's body after which reading stops for good; 0 for none
	ReadRate   int             // bytes of the request's body read in a second; 0 for as fast as they come
	Attempts   []Attempt       // what is done with the first attempts, in place of the above
}

// pieceBytes is the size of the pieces of an answer with pauses.
const pieceBytes = 20_000

// query encodes the script.
func (s Script) query() string {
	pauses := make([]string, len(s.Pauses))
	for n, pause := range s.Pauses {
		pauses[n] = strconv.FormatInt(pause.Milliseconds(), 10)
	}
	return fmt.Sprintf("work=%d&size=%d&framing=%s&pauses=%s&limit=%d&rate=%d&attempts=%s", s.Work.Milliseconds(), s.AnswerSize, s.Framing,
		strings.Join(pauses, "."), s.ReadLimit, s.ReadRate, encodeAttempts(s.Attempts))
}

// parseScript decodes the script of a request.
func parseScript(r *http.Request) (s Script) {
	values := r.URL.Query()
	number := func(name string) int {
		n, _ := strconv.Atoi(values.Get(name))
		return n
	}
	s = Script{Work: time.Duration(number("work")) * time.Millisecond, AnswerSize: number("size"), Framing: Framing(values.Get("framing")),
		ReadLimit: number("limit"), ReadRate: number("rate")}
	for text := range strings.SplitSeq(values.Get("pauses"), ".") {
		if ms, err := strconv.Atoi(text); err == nil {
			s.Pauses = append(s.Pauses, time.Duration(ms)*time.Millisecond)
		}
	}
	s.Attempts = parseAttempts(values.Get("attempts"))
	return s
}

// Run is one request that an endpoint received whole.
type Run struct {
	Endpoint string    // id of the endpoint
	At       time.Time // when its last byte came, by the kernel
}

// runLog holds the runs of all endpoints and the number of attempts, by the request's id.
type runLog struct {
	mu       sync.Mutex
	runs     map[string][]Run
	attempts map[string]int
}

// begin counts an attempt whose head has come, and returns how many came before.
func (l *runLog) begin(request string) (earlier int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier = l.attempts[request]
	l.attempts[request]++
	return earlier
}

func (l *runLog) add(request string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request] = append(l.runs[request], r)
}

// of returns the runs of a request.
func (l *runLog) of(request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[request]...)
}

// Endpoint is the stand-in of one endpoint.
type Endpoint struct {
	ID       string
	listener net.Listener
	log      *runLog
}

// newEndpoint starts an endpoint at addr.
func newEndpoint(id, addr string, log *runLog) (*Endpoint, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, listener: listener, log: log}
	go e.accept()
	return e, nil
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// receiveBufferBytes is set on every connection of an endpoint, so that how much of a request the kernel takes for an endpoint
// that does not read doesn't depend on the machine.
const receiveBufferBytes = 64 << 10

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn.(*net.TCPConn))
	}
}

// serve serves one request after the other on a connection until one of them ends it.
func (e *Endpoint) serve(conn *net.TCPConn) {
	defer conn.Close()
	conn.SetReadBuffer(receiveBufferBytes)
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/alive" {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !e.serveRequest(conn, r) {
			return
		}
	}
}

// serveRequest carries out a request's script and reports whether the connection can be used again.
func (e *Endpoint) serveRequest(conn *net.TCPConn, r *http.Request) bool {
	s := parseScript(r)
	id := r.Header.Get("Request-Id")
	if earlier := e.log.begin(id); earlier < len(s.Attempts) {
		return e.serveAttempt(conn, r, s.Attempts[earlier])
	}
	if !readBody(conn, r.Body, s) {
		return false
	}
	e.log.add(id, Run{Endpoint: e.ID, At: lastDataAt(conn)})
	time.Sleep(s.Work)
	return writeAnswer(conn, answerBody(id, s.AnswerSize), s) == nil && s.Framing != ByClose
}

// readBody reads a request's body as the script says, and reports whether all of it came.
func readBody(conn net.Conn, body io.Reader, s Script) bool {
	if s.ReadLimit > 0 {
		io.CopyN(io.Discard, body, int64(s.ReadLimit))
		waitForEnd(conn)
		return false
	}
	const steps = 20 // reads in a second at a limited rate
	for s.ReadRate > 0 {
		if _, err := io.CopyN(io.Discard, body, int64(s.ReadRate/steps)); err != nil {
			return err == io.EOF
		}
		time.Sleep(time.Second / steps)
	}
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// maxHang bounds how long an endpoint that has stopped reading keeps its connection.
const maxHang = 30 * time.Second

// waitForEnd returns when the peer of a connection of which nothing more is read has ended it, as far as a write shows that.
func waitForEnd(conn net.Conn) {
	for until := time.Now().Add(maxHang); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if _, err := io.WriteString(conn, ""); err != nil || peerClosed(conn) {
			return
		}
	}
}

// writeAnswer writes an answer with the pauses of the script.
func writeAnswer(conn net.Conn, body string, s Script) error {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	switch s.Framing {
	case Chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case ByClose:
		head += "Connection: close\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return err
	}
	for _, pause := range s.Pauses {
		time.Sleep(pause)
		piece := body[:min(len(body), pieceBytes)]
		body = body[len(piece):]
		if err := writePiece(conn, piece, s.Framing); err != nil {
			return err
		}
	}
	if err := writePiece(conn, body, s.Framing); err != nil {
		return err
	}
	if s.Framing == Chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

func writePiece(conn net.Conn, piece string, framing Framing) error {
	if piece == "" {
		return nil
	}
	if framing == Chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(conn, piece)
	return err
}

// answerBody returns the body of a request's answer; it names the request, so that another's answer is detected.
func answerBody(id string, size int) string {
	line := "made for " + id + "\n"
	if size <= 0 {
		return line
	}
	return strings.Repeat(line, size/len(line)+1)[:size]
}
