// This file turns a client's HTTP request into an exchange. It owns what a request must state to be accepted, which of its
// headers are passed on, and from when its timeout counts. It must never pass on a request that another HTTP parser may frame
// differently.

package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

// notForwarded are hop-by-hop headers, and those that the sidecar writes itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Request-Timeout": true,
}

// alwaysForwarded are headers that are passed on even if a client declares them hop-by-hop in Connection.
var alwaysForwarded = map[string]bool{"Request-Id": true, "Idempotency-Key": true, "Request-Class": true}

// readExchange reads a request into an exchange. If the request is not acceptable, x is nil, and status and reason are the
// answer.
func (s *clientServer) readExchange(w http.ResponseWriter, r *http.Request, receivedAt time.Time) (x *exchange, status int, reason string) {
	id, timeout := r.Header.Values("Request-Id"), parseTimeout(r.Header.Values("Request-Timeout"))
	class, product, named := s.productOf(r)
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, "GET and POST only"
	case len(id) != 1 || id[0] == "" || len(id[0]) > maxRequestIDBytes:
		return nil, http.StatusBadRequest, "one Request-Id is needed"
	case timeout <= 0:
		return nil, http.StatusBadRequest, "one Request-Timeout is needed, such as 480m or 480000u"
	case !named:
		return nil, http.StatusNotFound, "class and path must name one product" // endpoints would serve it all the same, or void it
	case r.ContentLength > maxStreamedBytes:
		return nil, http.StatusRequestEntityTooLarge, "body too long"
	}
	if limit := s.maxTimeout(product); limit > 0 {
		// No client is promised a longer wait, and the exchange, its body and its timer would be kept as long.
		timeout = min(timeout, limit)
	}
	control := http.NewResponseController(w)
	source := &minRateReader{source: r.Body, control: control, startBy: receivedAt.Add(bodyStartTimeout)}
	if conn, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok && conn.readDeadline.After(source.startBy) {
		source.startBy = conn.readDeadline
	}
	var body []byte
	var rest *streamedRequest
	var err error
	completeAt := receivedAt
	if r.ContentLength > s.descriptors.memory.maxBuffered {
		rest = &streamedRequest{bodyPipe: newBodyPipe(s.descriptors.memory.pipeBytes), length: r.ContentLength}
	} else {
		limit := s.descriptors.memory.maxBuffered
		if r.ContentLength < 0 {
			limit = maxBufferedBodyBytes
		}
		body, err = io.ReadAll(io.LimitReader(source, limit+1))
		if completeAt = time.Now(); int64(len(body)) > limit {
			rest = &streamedRequest{bodyPipe: newBodyPipe(s.descriptors.memory.pipeBytes), length: -1}
		} else {
			control.SetReadDeadline(time.Time{})
			if conn, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok && err == nil {
				conn.bodyEndRead.Store(true)
			}
		}
	}
	// The timeout counts from when the request arrived: counted from the end of a stall of the process, or of the wait to be
	// accepted, it would let the answer come too late.
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	completeAt = conn.earlierReceipt(completeAt.Add(-s.stalls.readDelay(completeAt.Sub(s.loop.started))))
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, http.StatusRequestTimeout, "the body did not come in time"
	case err != nil:
		return nil, http.StatusBadRequest, "broken body"
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, target, r.Host)
	for _, list := range r.Header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			// Headers that identify a repeated request are not removed: without them an endpoint would apply its effect twice.
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !alwaysForwarded[name] {
				r.Header.Del(name)
			}
		}
	}
	r.Header.WriteSubset(&head, notForwarded)
	switch {
	case rest != nil && rest.length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case rest != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", rest.length)
	case len(body) > 0 || r.Method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	x = &exchange{
		id: logic.ExchangeID(id[0]), product: product, tenant: s.names.Tenant([]byte(r.Header.Get("Tenant"))),
		key:  terms.Key([]byte(infoValue(r.Header.Get("Request-Info"), "path-key"))),
		cost: costHint(r.Header.Get("Request-Info")), answer: make(chan answer, 1), bodyPending: rest != nil,
		request:  request{method: r.Method, product: class, head: head.Bytes(), body: body, remaining: rest},
		deadline: answerDeadline{started: s.loop.started, clientTimeout: toDuration(timeout), shutdownBy: &s.shutdownBy},
	}
	x.deadline.setReceived(completeAt)
	if rest != nil {
		rest.arrivals.waitedAt = completeAt
		control.EnableFullDuplex() // an answer may be written before the request's end
		x.bodySource = source
	}
	return x, 0, ""
}

// costHint returns the work that Request-Info states as cost; 0 if it is not a positive finite number.
func costHint(info string) float64 {
	if cost, err := strconv.ParseFloat(infoValue(info, "cost"), 64); err == nil && cost > 0 && !math.IsInf(cost, 0) {
		return cost
	}
	return 0
}

// infoValue returns the value of a name in Request-Info (name=value, separated by commas); "" if it has none.
func infoValue(info, name string) string {
	for part := range strings.SplitSeq(info, ",") {
		if key, value, _ := strings.Cut(strings.TrimSpace(part), "="); key == name {
			return value
		}
	}
	return ""
}

// productOf finds the product that class and path name; named is false if they do not name the same one. class is that
// product. p, by which the exchange is treated, is -1 (unknown, and so single-use) unless method and Idempotency-Key fit the
// product too: a request that is repeated by mistake has its effect twice.
func (s *clientServer) productOf(r *http.Request) (class, p logic.ProductID, named bool) {
	pathRoot, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := pathRoot
	if classes := r.Header["Request-Class"]; len(classes) > 0 {
		name = classes[0]
	}
	p = s.names.Product([]byte(name))
	if p < 0 || name != pathRoot || len(r.Header["Request-Class"]) > 1 {
		return -1, -1, false
	}
	switch effect := s.products[p].Effect; {
	case effect == logic.Retryable && r.Method != http.MethodGet,
		effect == logic.Deduplicated && (len(r.Header["Idempotency-Key"]) != 1 || r.Header.Get("Idempotency-Key") == ""):
		return p, -1, true
	}
	return p, p, true
}

// maxTimeout returns how long clients of a product wait at most; for an unknown product, the longest of all products.
func (s *clientServer) maxTimeout(p logic.ProductID) (limit logic.Millis) {
	if p >= 0 {
		return s.products[p].Abandon
	}
	for _, q := range s.products {
		limit = max(limit, q.Abandon)
	}
	return limit
}

// parseTimeout parses the one value of Request-Timeout: a decimal number with the unit m (milliseconds) or u (microseconds).
// It returns 0 for anything else, and for a time that is not above 0 or exceeds maxClientTimeoutMs.
func parseTimeout(values []string) logic.Millis {
	if len(values) != 1 || len(values[0]) < 2 {
		return 0
	}
	last := len(values[0]) - 1
	n, err := strconv.ParseFloat(values[0][:last], 64)
	if strings.Trim(values[0][:last], "0123456789.") != "" {
		return 0 // ParseFloat also accepts 1e3, 0x1p4 and +5, which no client means
	}
	if values[0][last] == 'u' {
		n /= 1000
	} else if values[0][last] != 'm' {
		return 0
	}
	if err != nil || math.IsNaN(n) || n <= 0 || n > maxClientTimeoutMs {
		return 0
	}
	return logic.Millis(n)
}
