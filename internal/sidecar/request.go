// Request: from a client's HTTP request to an exchange. This file owns what a request must say to be one, which of its headers are passed
// on, and from when its time counts. It must never pass on what another reader may frame otherwise.
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

// dropped are headers of one connection only, and those that this program writes itself.
var dropped = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Request-Timeout": true,
}

// kept are headers that are passed on even if a client names them as of one hop.
var kept = map[string]bool{"Request-Id": true, "Idempotency-Key": true, "Request-Class": true}

// read makes an exchange of a request, or says why it is none.
func (s *front) read(w http.ResponseWriter, r *http.Request, came time.Time) (x *exchange, status int, why string) {
	id, wait := r.Header.Values("Request-Id"), duration(r.Header.Values("Request-Timeout"))
	class, product, named := s.product(r)
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, "GET and POST only"
	case len(id) != 1 || id[0] == "" || len(id[0]) > idMost:
		return nil, http.StatusBadRequest, "one Request-Id is needed"
	case wait <= 0:
		return nil, http.StatusBadRequest, "one Request-Timeout is needed, such as 480m or 480000u"
	case !named:
		return nil, http.StatusNotFound, "class and path must name one product" // endpoints would serve it, or void it
	case r.ContentLength > longMost:
		return nil, http.StatusRequestEntityTooLarge, "body too long"
	}
	if most := s.longest(product); most > 0 {
		wait = min(wait, most) // nobody is promised more, and exchange, body and alarm would stay as long
	}
	control := http.NewResponseController(w)
	from := &paced{from: r.Body, control: control, by: came.Add(bodyStart)}
	if k, ok := r.Context().Value(clientKey{}).(*client); ok && k.readBy.After(from.by) {
		from.by = k.readBy
	}
	var body []byte
	var rest *incoming
	var err error
	sent := came
	if r.ContentLength > s.keptMost {
		rest = &incoming{flow: newFlow(), length: r.ContentLength}
	} else {
		most := s.keptMost
		if r.ContentLength < 0 {
			most = bodyMost
		}
		body, err = io.ReadAll(io.LimitReader(from, most+1))
		if sent = time.Now(); int64(len(body)) > most {
			rest = &incoming{flow: newFlow(), length: -1}
		} else {
			control.SetReadDeadline(time.Time{})
			if k, ok := r.Context().Value(clientKey{}).(*client); ok && err == nil {
				k.whole.Store(true)
			}
		}
	}
	// An answer that keeps to a time counted from the end of a standstill, or of a wait to be accepted, comes too late.
	k, _ := r.Context().Value(clientKey{}).(*client)
	sent = k.earlier(sent.Add(-s.pace.behind(sent.Sub(s.loop.started))))
	var slow net.Error
	switch {
	case errors.As(err, &slow) && slow.Timeout():
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
			// Never what tells repeats apart: without it the endpoint would let an effect happen twice.
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !kept[name] {
				r.Header.Del(name)
			}
		}
	}
	r.Header.WriteSubset(&head, dropped)
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
		key:  terms.Key([]byte(figure(r.Header.Get("Request-Info"), "path-key"))),
		cost: costHint(r.Header.Get("Request-Info")), abandon: s.loop.at(sent) + wait, wait: wait, answer: make(chan answer, 1), coming: rest != nil,
		request: request{method: r.Method, class: class, head: head.Bytes(), body: body, rest: rest},
	}
	if rest != nil {
		control.EnableFullDuplex() // an answer may come before the request's end
		x.from = from
	}
	return x, 0, ""
}

// costHint finds the work in a request's further figures; what is no positive number is no hint.
func costHint(info string) float64 {
	if cost, err := strconv.ParseFloat(figure(info, "cost"), 64); err == nil && cost > 0 && !math.IsInf(cost, 0) {
		return cost
	}
	return 0
}

// figure is the value of a request's further figure, "" if it has none of that name.
func figure(info, wanted string) string {
	for part := range strings.SplitSeq(info, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(part), "="); name == wanted {
			return value
		}
	}
	return ""
}

// product is named by class and path. It is taken for unknown, and so for single-use, unless the method agrees too: what is
// repeated by mistake has two effects.
func (s *front) product(r *http.Request) (class, p logic.ProductID, named bool) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := first
	if list := r.Header["Request-Class"]; len(list) > 0 {
		name = list[0]
	}
	p = s.names.Product([]byte(name))
	if p < 0 || name != first || len(r.Header["Request-Class"]) > 1 {
		return -1, -1, false
	}
	switch effect := s.products[p].Effect; {
	case effect == logic.Retryable && r.Method != http.MethodGet,
		effect == logic.Deduplicated && (len(r.Header["Idempotency-Key"]) != 1 || r.Header.Get("Idempotency-Key") == ""):
		return p, -1, true
	}
	return p, p, true
}

// longest is how long the product's clients wait at the most; for an unknown one, that of any.
func (s *front) longest(p logic.ProductID) (most logic.Millis) {
	if p >= 0 {
		return s.products[p].Abandon
	}
	for _, q := range s.products {
		most = max(most, q.Abandon)
	}
	return most
}

// duration reads a number with its unit; 0 stands for anything that is none.
func duration(values []string) logic.Millis {
	if len(values) != 1 || len(values[0]) < 2 {
		return 0
	}
	last := len(values[0]) - 1
	n, err := strconv.ParseFloat(values[0][:last], 64)
	if strings.Trim(values[0][:last], "0123456789.") != "" {
		return 0 // 1e3, 0x1p4, +5: nobody means these
	}
	if values[0][last] == 'u' {
		n /= 1000
	} else if values[0][last] != 'm' {
		return 0
	}
	if err != nil || math.IsNaN(n) || n <= 0 || n > mostWait {
		return 0
	}
	return logic.Millis(n)
}
