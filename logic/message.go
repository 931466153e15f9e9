package logic

import "math"

// What a pool's sidecars write to one another, and the hashes by which all of them find the same sharers. Nothing is
// decided here.

// word is one message: an endpoint's mark, the turn and the amount of the sender's work there, and how a leg fared.
type word [11]byte

const wordParts = 4.0 // steps in which it tells of a mean leg's work

func wordOf(e *endpoint, x *exchange, l *leg, o Outcome, took, effort float64) word {
	time := uint16(math.Min(took+0.5, math.MaxUint16))
	return word{byte(e.mark >> 8), byte(e.mark), e.turn, steps(e.work), byte(o), byte(x.product.place), steps(l.ahead),
		byte(time >> 8), byte(time), steps(effort), byte(x.tenant + 1)}
}

func steps(work float64) byte { return byte(math.Min(work*wordParts+0.5, math.MaxUint8)) }

// read takes a message's bytes; a wrong length or outcome is none of ours.
func read(text []byte) (w word, ok bool) {
	return w, copy(w[:], text) == len(text) && len(text) == len(w) && Outcome(w[4]) <= NotSent
}

func (w word) mark() uint16               { return uint16(w[0])<<8 | uint16(w[1]) }
func (w word) after(turn byte) bool       { return int8(w[2]-turn) > 0 }
func (w word) work() float64              { return float64(w[3]) / wordParts }
func (w word) fared() (Outcome, Millis)   { return Outcome(w[4]), Millis(uint16(w[7])<<8 | uint16(w[8])) }
func (w word) product() int               { return int(w[5]) }
func (w word) ahead() float64             { return float64(max(w[6], 1)) / wordParts }
func (w word) begun() (TenantID, float64) { return TenantID(w[10]) - 1, float64(w[9]) / wordParts }

// markOf is FNV-1a, folded.
func markOf(id EndpointID) uint16 {
	h := uint32(2166136261)
	for _, c := range []byte(id) {
		h = (h ^ uint32(c)) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}

// mix is splitmix64's last step: the same at every sidecar.
func mix(mark uint16, n int) uint64 {
	h := stir((uint64(mark)<<20 + uint64(n) + 1) * 0x9e3779b97f4a7c15)
	return h ^ h>>31
}

func stir(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return (h ^ h>>27) * 0x94d049bb133111eb
}

// jump is Lamping and Veach's consistent hash: a fleet that grows moves few.
func jump(h uint64, fleet float64) PeerID {
	at, next := 0.0, 0.0
	for next < fleet {
		at = next
		h = h*2862933555777941757 + 1
		next = math.Floor((at + 1) * (1 << 31) / float64(h>>33+1))
	}
	return PeerID(at)
}

// tell lets sharers know of all our legs there, so that a lost message misleads briefly, and how one fared.
func (b *Balancer) tell(x *exchange, l *leg, o Outcome, took float64) {
	if !b.pool {
		return
	}
	if l.lost && o != Satisfied {
		took = 0 // told when it was noticed
	}
	l.to.turn++
	b.word = wordOf(l.to, x, l, o, took, b.effort(x))
	for n, k := range l.to.kin {
		if n < poolSize && k.peer != b.me {
			b.Tell(k.peer, b.word[:])
		}
	}
}

// Told takes what another sidecar wrote. What is malformed, of no use or overtaken changes nothing.
func (b *Balancer) Told(from PeerID, text []byte) {
	w, ok := read(text)
	e := b.marks[w.mark()]
	if !b.pool || !ok || e == nil || len(e.kin) == 0 || from < 0 || from == b.me {
		return
	}
	n := e.share(from)
	if n < 0 && len(e.kin) < 2*poolSize { // one to whom chance left few
		n, e.kin = len(e.kin), append(e.kin, kin{peer: from, turn: w[2] - 1})
	}
	if n < 0 || !w.after(e.kin[n].turn) && b.now-e.kin[n].at <= b.lasting {
		return
	}
	e.others += w.work() - e.kin[n].work
	e.kin[n] = kin{peer: from, turn: w[2], work: w.work(), at: b.now}
	if w.product() < len(b.products) {
		o, took := w.fared()
		if t, effort := w.begun(); o == Unclear && took == 0 {
			e.tokens -= effort
			b.counts(t)
		}
		b.theirs.product, b.theirLeg = &b.products[w.product()], leg{to: e, sent: b.now - took, ahead: w.ahead()}
		b.account(&b.theirs, &b.theirLeg, o, float64(took))
	}
	b.drain()
}
