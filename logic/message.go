package logic

import "math"

// What a pool's sidecars write to one another, and the hashes by which all of them find the same sharers. Nothing is
// decided here.

// word is one message: an endpoint's mark, the turn and the amount of the sender's work there, and how a leg fared.
type peerMessage [11]byte

const workSteps = 4.0 // steps in which it tells of a mean leg's work

func newPeerMessage(e *endpoint, x *exchange, l *leg, o Outcome, took, relativeWork float64) peerMessage {
	latency := uint16(math.Min(took+0.5, math.MaxUint16))
	return peerMessage{byte(e.wireID >> 8), byte(e.wireID), e.sequence, encodeWork(e.ownWork), byte(o), byte(x.product.index), encodeWork(l.workAhead),
		byte(latency >> 8), byte(latency), encodeWork(relativeWork), byte(x.tenant + 1)}
}

func encodeWork(work float64) byte { return byte(math.Min(work*workSteps+0.5, math.MaxUint8)) }

// read takes a message's bytes; a wrong length or outcome is none of ours.
func parsePeerMessage(text []byte) (w peerMessage, ok bool) {
	return w, copy(w[:], text) == len(text) && len(text) == len(w) && Outcome(w[4]) <= NotSent
}

func (w peerMessage) wireID() uint16               { return uint16(w[0])<<8 | uint16(w[1]) }
func (w peerMessage) newerThan(sequence byte) bool { return int8(w[2]-sequence) > 0 }
func (w peerMessage) work() float64                { return float64(w[3]) / workSteps }
func (w peerMessage) legOutcome() (Outcome, Millis) {
	return Outcome(w[4]), Millis(uint16(w[7])<<8 | uint16(w[8]))
}
func (w peerMessage) productIndex() int  { return int(w[5]) }
func (w peerMessage) workAhead() float64 { return float64(max(w[6], 1)) / workSteps }
func (w peerMessage) begunLeg() (TenantID, float64) {
	return TenantID(w[10]) - 1, float64(w[9]) / workSteps
}

// markOf is FNV-1a, folded.
func wireIDOf(id EndpointID) uint16 {
	h := uint32(2166136261)
	for _, c := range []byte(id) {
		h = (h ^ uint32(c)) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}

// mix is splitmix64's last step: the same at every sidecar.
func mixHash(wireID uint16, n int) uint64 {
	h := scramble((uint64(wireID)<<20 + uint64(n) + 1) * 0x9e3779b97f4a7c15)
	return h ^ h>>31
}

func scramble(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return (h ^ h>>27) * 0x94d049bb133111eb
}

// jump is Lamping and Veach's consistent hash: a fleet that grows moves few.
func jumpHash(h uint64, fleet float64) PeerID {
	at, next := 0.0, 0.0
	for next < fleet {
		at = next
		h = h*2862933555777941757 + 1
		next = math.Floor((at + 1) * (1 << 31) / float64(h>>33+1))
	}
	return PeerID(at)
}

// tell lets sharers know of all our legs there, so that a lost message misleads briefly, and how one fared.
func (b *Balancer) notifyPeers(x *exchange, l *leg, o Outcome, took float64) {
	if !b.pool {
		return
	}
	if l.lost && o != Succeeded {
		took = 0 // told when it was noticed
	}
	l.to.sequence++
	b.message = newPeerMessage(l.to, x, l, o, took, b.relativeWork(x))
	for n, k := range l.to.peers {
		if n < peersPerEndpoint && k.peer != b.self {
			b.NotifyPeer(k.peer, b.message[:])
		}
	}
}

// Told takes what another sidecar wrote. What is malformed, of no use or overtaken changes nothing.
func (b *Balancer) PeerMessage(from PeerID, text []byte) {
	w, ok := parsePeerMessage(text)
	e := b.byWireID[w.wireID()]
	if !b.pool || !ok || e == nil || len(e.peers) == 0 || from < 0 || from == b.self {
		return
	}
	n := e.peerIndex(from)
	if n < 0 && len(e.peers) < 2*peersPerEndpoint { // one to whom chance left few
		n, e.peers = len(e.peers), append(e.peers, sharingPeer{peer: from, sequence: w[2] - 1})
	}
	if n < 0 || !w.newerThan(e.peers[n].sequence) && b.now-e.peers[n].heardAt <= b.longestExpected {
		return
	}
	e.peerWork += w.work() - e.peers[n].work
	e.peers[n] = sharingPeer{peer: from, sequence: w[2], work: w.work(), heardAt: b.now}
	if w.productIndex() < len(b.products) {
		o, took := w.legOutcome()
		if t, relativeWork := w.begunLeg(); o == Unknown && took == 0 {
			e.coldTokens -= relativeWork
			b.countAdmitted(t)
		}
		b.peerExchange.product, b.peerLeg = &b.products[w.productIndex()], leg{to: e, sentAt: b.now - took, workAhead: w.workAhead()}
		b.recordOutcome(&b.peerExchange, &b.peerLeg, o, float64(took))
	}
	b.dispatchQueue()
}
