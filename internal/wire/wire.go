// Package wire is the simulator's adapter: it translates the simulator's JSON lines into calls of the decision module
// and the module's calls into JSON lines. It takes no decisions of its own.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

// Hub hosts all instances of one process. The instances share the input and output streams and nothing else.
type Hub struct {
	in          *bufio.Reader
	out         *bufio.Writer
	parser      fastjson.Parser
	inventories map[int]*inventory
	instances   map[int]*instance
	longLine    []byte // buffer of a line that is longer than the reader's buffer
	lineNumber  int
	now         logic.Millis // time of the current batch
}

// inventory is a list of endpoints that MEMBERS messages refer to by number. It has a parser of its own because its
// values must stay valid after the next line is parsed.
type inventory struct {
	parser  fastjson.Parser
	entries []*fastjson.Value
}

// NewHub returns a hub that reads messages from in and writes actions to out.
func NewHub(in io.Reader, out io.Writer) *Hub {
	return &Hub{
		in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		inventories: map[int]*inventory{}, instances: map[int]*instance{},
	}
}

// Run processes batches of messages until the input ends. It returns an error if the input ends inside a batch, a line
// is not JSON, or the output cannot be written.
func (h *Hub) Run() error {
	inBatch := false
	for {
		text, err := h.readLine()
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if inBatch {
				return fmt.Errorf("line %d: input ended inside a batch", h.lineNumber+1)
			}
			return nil
		}
		h.lineNumber++
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", h.lineNumber, err)
		}
		v, err := h.parser.ParseBytes(text)
		if err != nil {
			return fmt.Errorf("line %d: not JSON: %w", h.lineNumber, err)
		}
		switch msg := v.GetStringBytes("msg"); string(msg) {
		case "SYNC":
			inBatch, h.now = true, terms.Millis(v, "moment")
		case "EOB":
			inBatch = false
			if _, err := h.out.WriteString("{\"msg\":\"OK\"}\n"); err != nil {
				return err
			}
			if err := h.out.Flush(); err != nil {
				return err
			}
		case "INVENTORY":
			if err := h.storeInventory(v.GetInt("ref"), text); err != nil {
				return err
			}
		default:
			h.deliver(string(msg), v)
		}
	}
}

// readLine returns the next line. The line is valid until the next call.
func (h *Hub) readLine() ([]byte, error) {
	text, err := h.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	h.longLine = append(h.longLine[:0], text...)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = h.in.ReadSlice('\n')
		h.longLine = append(h.longLine, text...)
	}
	return h.longLine, err
}

func (h *Hub) storeInventory(ref int, text []byte) error {
	list := h.inventories[ref]
	if list == nil {
		list = &inventory{}
		h.inventories[ref] = list
	}
	v, err := list.parser.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("line %d: not JSON: %w", h.lineNumber, err)
	}
	list.entries = v.GetArray("members-list")
	return nil
}

// deliver passes one event to the instance that it addresses. A panic inside an instance is reported and removes only
// that instance.
func (h *Hub) deliver(msg string, v *fastjson.Value) {
	number := v.GetInt("sidecar")
	defer func() {
		if panicValue := recover(); panicValue != nil {
			delete(h.instances, number)
			(&instance{number: number, out: h.out}).reportPanic(fmt.Sprint(panicValue))
		}
	}()
	if msg == "HELLO" {
		h.instances[number] = newInstance(number, v, h.out, h.now)
		return
	}
	i := h.instances[number]
	if i == nil {
		return
	}
	i.module.SetNow(h.now)
	switch msg {
	case "RETIRE":
		delete(h.instances, number)
	case "MEMBERS":
		i.applyList(string(v.GetStringBytes("scope")), h.inventories[v.GetInt("ref")])
	case "QUERY":
		i.module.Arrive(logic.ExchangeID(v.GetStringBytes("ref")), i.settingNames.Product(v.GetStringBytes("service")),
			i.settingNames.Tenant(v.GetStringBytes("customer")), terms.Key(v.GetStringBytes("path-key")), terms.Millis(v, "deadline"), v.GetFloat64("cost"), false)
	case "REPLY":
		i.module.LegEnded(logic.ExchangeID(v.GetStringBytes("ref")), logic.LegNo(v.GetInt("try")),
			outcomeByStatus[string(v.GetStringBytes("status"))], terms.Millis(v, "duration"), v.GetBool("closed"))
	case "FIRST_BYTE":
		i.module.StreamBegan(logic.ExchangeID(v.GetStringBytes("ref")), logic.LegNo(v.GetInt("try")))
	case "CLIENT_GONE":
		i.module.ClientLeft(logic.ExchangeID(v.GetStringBytes("ref")))
	case "CHECKED":
		i.module.Probed(logic.EndpointID(v.GetStringBytes("endpoint")), string(v.GetStringBytes("status")) == "GOOD",
			terms.Load(v.Get("pressure")))
	case "MEMO":
		if text, err := hex.DecodeString(string(v.GetStringBytes("contents"))); err == nil {
			i.module.PeerMessage(logic.PeerID(v.GetInt("origin-peer")), text)
		}
	case "ALARM":
		i.module.TimerFired(logic.TimerID(v.GetUint64("label")))
	}
}

// outcomeByStatus are the outcomes of legs by their names on the wire. Any other name is an unknown outcome.
var outcomeByStatus = map[string]logic.Outcome{
	"GOOD": logic.Succeeded, "BAD": logic.Errored, "FULL": logic.Full, "LATE": logic.TimedOut,
	"NOCONN": logic.NoConnection, "RST": logic.Reset, "CXL": logic.Cancelled, "NOP": logic.NotSent,
}

// healthByName are the states of endpoints by their names on the wire. An endpoint in any other state is not running.
var healthByName = map[string]logic.Health{"Running": logic.Running, "Deleted": logic.Gone}

// instance is one simulated sidecar: its decision module, the names in its settings, and the output for its actions. It
// implements logic.Outgoing.
type instance struct {
	number       int
	module       *logic.Balancer
	out          *bufio.Writer
	arena        fastjson.Arena
	lineBuffer   []byte
	settingNames *terms.Names
	endpointIDs  map[string]logic.EndpointID
}

func newInstance(number int, v *fastjson.Value, out *bufio.Writer, now logic.Millis) *instance {
	moduleTerms, names := terms.Parse(v.Get("env"), v.GetUint64("init-seed"))
	i := &instance{number: number, out: out, settingNames: names, endpointIDs: map[string]logic.EndpointID{}}
	i.module = logic.New(moduleTerms, i, now)
	return i
}

// applyList passes a MEMBERS message to the module. Scope "error" is a failed call for the list, "diff" a change of the
// last list, "disk" a stored list; any other scope is a complete list.
func (i *instance) applyList(scope string, list *inventory) {
	if scope == "error" {
		i.module.ListCallFailed()
		return
	}
	if list == nil {
		return
	}
	if scope != "diff" {
		i.module.ListStarts()
	}
	for _, e := range list.entries {
		i.module.Listed(i.endpointID(e.GetStringBytes("endpoint")), healthByName[string(e.GetStringBytes("health"))],
			i.settingNames.Zone(e.GetStringBytes("locality")), i.settingNames.Kind(e.GetStringBytes("type")), logic.CellID(e.GetInt("bay")), e.GetFloat64("units"),
			terms.Millis(e, "ready-at"))
	}
	i.module.ListEnds(scope == "disk")
}

// endpointID returns the ID of an endpoint without allocating a string for a name that occurred before.
func (i *instance) endpointID(text []byte) logic.EndpointID {
	e, known := i.endpointIDs[string(text)]
	if !known {
		e = logic.EndpointID(text)
		i.endpointIDs[string(e)] = e
	}
	return e
}

// newAction returns the object of an action, to be completed by the caller and sent by write. The object is valid until
// the next call.
func (i *instance) newAction(msg string) *fastjson.Value {
	i.arena.Reset()
	o := i.arena.NewObject()
	o.Set("msg", i.arena.NewString(msg))
	o.Set("sidecar", i.arena.NewNumberInt(i.number))
	return o
}

func (i *instance) write(o *fastjson.Value) {
	i.lineBuffer = append(o.MarshalTo(i.lineBuffer[:0]), '\n')
	i.out.Write(i.lineBuffer) // a write error is reported by Flush at the end of the batch
}

func (i *instance) newExchangeAction(msg string, x logic.ExchangeID) *fastjson.Value {
	o := i.newAction(msg)
	o.Set("ref", i.arena.NewString(string(x)))
	return o
}

func (i *instance) millis(f logic.Millis) *fastjson.Value {
	return i.arena.NewNumberFloat64(float64(f))
}

func (i *instance) Send(x logic.ExchangeID, to logic.EndpointID, timeout logic.Millis) {
	o := i.newExchangeAction("CALL_OUT", x)
	o.Set("give-up-after", i.millis(timeout))
	o.Set("endpoint", i.arena.NewString(string(to)))
	i.write(o)
}

func (i *instance) Cancel(x logic.ExchangeID, leg logic.LegNo) {
	o := i.newExchangeAction("CANCEL", x)
	o.Set("try", i.arena.NewNumberInt(int(leg)))
	i.write(o)
}

func (i *instance) Shed(x logic.ExchangeID, _ logic.Reason, retryAfter logic.Millis) {
	o := i.newExchangeAction("NOT_NOW", x)
	if retryAfter > 0 {
		o.Set("not-before-for", i.millis(retryAfter))
	}
	i.write(o)
}

func (i *instance) Fail(x logic.ExchangeID, _ logic.Reason) {
	i.write(i.newExchangeAction("END_FAILED", x))
}

func (i *instance) SetTimer(after logic.Millis, t logic.TimerID) {
	o := i.newAction("WAKE_ME")
	o.Set("from-now", i.millis(after))
	o.Set("label", i.arena.NewNumberString(strconv.FormatUint(uint64(t), 10)))
	i.write(o)
}

func (i *instance) NotifyPeer(to logic.PeerID, text []byte) {
	o := i.newAction("WRITE_PEER")
	o.Set("to", i.arena.NewNumberInt(int(to)))
	o.Set("contents", i.arena.NewString(hex.EncodeToString(text)))
	i.write(o)
}

func (i *instance) Probe(e logic.EndpointID) {
	o := i.newAction("TOUCH")
	o.Set("endpoint", i.arena.NewString(string(e)))
	i.write(o)
}

func (i *instance) Watch() {
	o := i.newAction("WATCH")
	o.Set("want", i.arena.NewTrue())
	i.write(o)
}

func (i *instance) Note(line string) { i.writeLineAction("EMIT", line) }

// reportPanic reports to the simulator that the instance has ended with a panic.
func (i *instance) reportPanic(message string) { i.writeLineAction("DIE", message) }

func (i *instance) writeLineAction(msg, line string) {
	o := i.newAction(msg)
	o.Set("line", i.arena.NewString(line))
	i.write(o)
}
