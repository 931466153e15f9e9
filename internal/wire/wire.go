// Package wire turns the bench's lines into calls of the decision module and its calls into lines.
// It decides nothing.
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

// Hub hosts the instances of one process; they share nothing but the stream.
type Hub struct {
	in        *bufio.Reader
	out       *bufio.Writer
	parser    fastjson.Parser
	lists     map[int]*inventory
	instances map[int]*instance
	long      []byte
	line      int
	now       logic.Millis
}

// inventory keeps its own parser, since its values live on after the next line is read.
type inventory struct {
	parser  fastjson.Parser
	entries []*fastjson.Value
}

func NewHub(in io.Reader, out io.Writer) *Hub {
	return &Hub{
		in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<20),
		lists: map[int]*inventory{}, instances: map[int]*instance{},
	}
}

// Run serves batches until the input ends between two of them.
func (h *Hub) Run() error {
	inBatch := false
	for {
		text, err := h.readLine()
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if inBatch {
				return fmt.Errorf("line %d: input ended inside a batch", h.line+1)
			}
			return nil
		}
		h.line++
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		v, err := h.parser.ParseBytes(text)
		if err != nil {
			return fmt.Errorf("line %d: not JSON: %w", h.line, err)
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
			if err := h.inventory(v.GetInt("ref"), text); err != nil {
				return err
			}
		default:
			h.deliver(string(msg), v)
		}
	}
}

func (h *Hub) readLine() ([]byte, error) {
	text, err := h.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, err
	}
	h.long = append(h.long[:0], text...)
	for errors.Is(err, bufio.ErrBufferFull) {
		text, err = h.in.ReadSlice('\n')
		h.long = append(h.long, text...)
	}
	return h.long, err
}

func (h *Hub) inventory(ref int, text []byte) error {
	list := h.lists[ref]
	if list == nil {
		list = &inventory{}
		h.lists[ref] = list
	}
	v, err := list.parser.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("line %d: not JSON: %w", h.line, err)
	}
	list.entries = v.GetArray("members-list")
	return nil
}

// deliver hands one event to its instance; a fault there is that instance's own and is reported.
func (h *Hub) deliver(msg string, v *fastjson.Value) {
	number := v.GetInt("sidecar")
	defer func() {
		if fault := recover(); fault != nil {
			delete(h.instances, number)
			(&instance{number: number, out: h.out}).die(fmt.Sprint(fault))
		}
	}()
	if msg == "HELLO" {
		h.instances[number] = start(number, v, h.out, h.now)
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
		i.members(string(v.GetStringBytes("scope")), h.lists[v.GetInt("ref")])
	case "QUERY":
		i.module.Arrive(logic.ExchangeID(v.GetStringBytes("ref")), i.terms.Product(v.GetStringBytes("service")),
			i.terms.Tenant(v.GetStringBytes("customer")), terms.Key(v.GetStringBytes("path-key")), terms.Millis(v, "deadline"), v.GetFloat64("cost"), false)
	case "REPLY":
		i.module.LegEnded(logic.ExchangeID(v.GetStringBytes("ref")), logic.LegNo(v.GetInt("try")),
			outcomes[string(v.GetStringBytes("status"))], terms.Millis(v, "duration"), v.GetBool("closed"))
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

var outcomes = map[string]logic.Outcome{
	"GOOD": logic.Succeeded, "BAD": logic.Errored, "FULL": logic.Full, "LATE": logic.TimedOut,
	"NOCONN": logic.NoConnection, "RST": logic.Reset, "CXL": logic.Cancelled, "NOP": logic.NotSent,
}

var healths = map[string]logic.Health{"Running": logic.Running, "Deleted": logic.Gone}

// instance is one sidecar: its module, its names, and the writer of its actions.
type instance struct {
	number int
	module *logic.Balancer
	out    *bufio.Writer
	arena  fastjson.Arena
	text   []byte
	terms  *terms.Names
	names  map[string]logic.EndpointID
}

func start(number int, v *fastjson.Value, out *bufio.Writer, now logic.Millis) *instance {
	t, names := terms.From(v.Get("env"), v.GetUint64("init-seed"))
	i := &instance{number: number, out: out, terms: names, names: map[string]logic.EndpointID{}}
	i.module = logic.New(t, i, now)
	return i
}

func (i *instance) members(scope string, list *inventory) {
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
		i.module.Listed(i.name(e.GetStringBytes("endpoint")), healths[string(e.GetStringBytes("health"))],
			i.terms.Zone(e.GetStringBytes("locality")), i.terms.Kind(e.GetStringBytes("type")), logic.CellID(e.GetInt("bay")), e.GetFloat64("units"),
			terms.Millis(e, "ready-at"))
	}
	i.module.ListEnds(scope == "disk")
}

func (i *instance) name(text []byte) logic.EndpointID {
	e, known := i.names[string(text)]
	if !known {
		e = logic.EndpointID(text)
		i.names[string(e)] = e
	}
	return e
}

// action starts an action's object; write sends it off.
func (i *instance) action(msg string) *fastjson.Value {
	i.arena.Reset()
	o := i.arena.NewObject()
	o.Set("msg", i.arena.NewString(msg))
	o.Set("sidecar", i.arena.NewNumberInt(i.number))
	return o
}

func (i *instance) write(o *fastjson.Value) {
	i.text = append(o.MarshalTo(i.text[:0]), '\n')
	i.out.Write(i.text) // a broken pipe shows at the flush
}

func (i *instance) exchange(msg string, x logic.ExchangeID) *fastjson.Value {
	o := i.action(msg)
	o.Set("ref", i.arena.NewString(string(x)))
	return o
}

func (i *instance) number64(f logic.Millis) *fastjson.Value {
	return i.arena.NewNumberFloat64(float64(f))
}

func (i *instance) Send(x logic.ExchangeID, to logic.EndpointID, giveUpAfter logic.Millis) {
	o := i.exchange("CALL_OUT", x)
	o.Set("give-up-after", i.number64(giveUpAfter))
	o.Set("endpoint", i.arena.NewString(string(to)))
	i.write(o)
}

func (i *instance) Cancel(x logic.ExchangeID, leg logic.LegNo) {
	o := i.exchange("CANCEL", x)
	o.Set("try", i.arena.NewNumberInt(int(leg)))
	i.write(o)
}

func (i *instance) Shed(x logic.ExchangeID, _ logic.Reason, comeBackAfter logic.Millis) {
	o := i.exchange("NOT_NOW", x)
	if comeBackAfter > 0 {
		o.Set("not-before-for", i.number64(comeBackAfter))
	}
	i.write(o)
}

func (i *instance) Fail(x logic.ExchangeID, _ logic.Reason) { i.write(i.exchange("END_FAILED", x)) }

func (i *instance) SetTimer(after logic.Millis, t logic.TimerID) {
	o := i.action("WAKE_ME")
	o.Set("from-now", i.number64(after))
	o.Set("label", i.arena.NewNumberString(strconv.FormatUint(uint64(t), 10)))
	i.write(o)
}

func (i *instance) NotifyPeer(to logic.PeerID, text []byte) {
	o := i.action("WRITE_PEER")
	o.Set("to", i.arena.NewNumberInt(int(to)))
	o.Set("contents", i.arena.NewString(hex.EncodeToString(text)))
	i.write(o)
}

func (i *instance) Probe(e logic.EndpointID) {
	o := i.action("TOUCH")
	o.Set("endpoint", i.arena.NewString(string(e)))
	i.write(o)
}

func (i *instance) Watch() {
	o := i.action("WATCH")
	o.Set("want", i.arena.NewTrue())
	i.write(o)
}

func (i *instance) Note(line string) { i.say("EMIT", line) }

func (i *instance) die(fault string) { i.say("DIE", fault) }

func (i *instance) say(msg, line string) {
	o := i.action(msg)
	o.Set("line", i.arena.NewString(line))
	i.write(o)
}
