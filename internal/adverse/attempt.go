package adverse

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Attempt is what endpoints do with one attempt of a request, whichever of them it comes to.
type Attempt struct {
	ReadFirst int           // bytes of the body that are read before the pause
	Pause     time.Duration // in reading
	ReadRate  int           // bytes of the body read in a second after the pause; 0 for as fast as they come
	Reset     bool          // the connection is reset after the pause
	Status    int           // of the answer, NotStarted or NoAnswer
}

// Outcomes of an Attempt beside the usual status codes.
const (
	NotStarted = http.StatusServiceUnavailable // turned away: it did not run
	NoAnswer   = 0
)

// encodeAttempts returns the attempts as text for a query.
func encodeAttempts(attempts []Attempt) string {
	texts := make([]string, len(attempts))
	for n, a := range attempts {
		reset := 0
		if a.Reset {
			reset = 1
		}
		texts[n] = fmt.Sprintf("%d.%d.%d.%d.%d", a.ReadFirst, a.Pause.Milliseconds(), a.ReadRate, reset, a.Status)
	}
	return strings.Join(texts, "_")
}

// parseAttempts decodes the text of encodeAttempts.
func parseAttempts(text string) (attempts []Attempt) {
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, "_") {
		var a Attempt
		pause, reset := 0, 0
		fmt.Sscanf(part, "%d.%d.%d.%d.%d", &a.ReadFirst, &pause, &a.ReadRate, &reset, &a.Status)
		a.Pause, a.Reset = time.Duration(pause)*time.Millisecond, reset == 1
		attempts = append(attempts, a)
	}
	return attempts
}

// serveAttempt does what is planned with an attempt, and reports whether the connection can be used again.
func (e *Endpoint) serveAttempt(conn *net.TCPConn, r *http.Request, a Attempt) bool {
	if _, err := io.CopyN(io.Discard, r.Body, int64(a.ReadFirst)); err != nil && err != io.EOF {
		return false
	}
	time.Sleep(a.Pause)
	if a.Reset {
		conn.SetLinger(0)
		return false
	}
	if !readBody(conn, r.Body, Script{ReadRate: a.ReadRate}) {
		return false
	}
	id := r.Header.Get("Request-Id")
	if a.Status != NotStarted {
		e.log.add(id, Run{Endpoint: e.ID, At: lastDataAt(conn)})
	}
	switch a.Status {
	case http.StatusOK:
		return writeAnswer(conn, answerBody(id, 0), Script{}) == nil
	case NotStarted:
		_, err := io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case NoAnswer:
		waitForEnd(conn)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d Failed\r\nContent-Length: 0\r\n\r\n", a.Status)
	return err == nil
}
