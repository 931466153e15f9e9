package logic

import "math"

// The messages that the sidecars of a pool send to one another, and the hashes by which all of them assign an endpoint to
// the same peers. Nothing is decided here.

// peerMessage says how much work the sender has in flight at an endpoint, and that a leg there began or how it ended. Its
// bytes are: 0 and 1 the endpoint's wireID, 2 the sequence number, 3 the sender's work, 4 the leg's outcome, 5 the product's
// index, 6 the work ahead of the leg with its own, 7 and 8 the latency in ms, 9 the leg's work, 10 the tenant plus 1.
// Amounts of work are in steps of 1/workSteps. The outcome Unknown says that the leg began, with a latency of 0, or else
// that it is still in flight and counts as lost.
type peerMessage [11]byte

const workSteps = 4.0 // steps for the work of a mean leg

// newPeerMessage is the message about a leg. What does not fit into its bytes is cut to the highest value.
func newPeerMessage(e *endpoint, x *exchange, l *leg, o Outcome, took, relativeWork float64) peerMessage {
	latency := uint16(math.Min(took+0.5, math.MaxUint16))
	return peerMessage{byte(e.wireID >> 8), byte(e.wireID), e.sequence, encodeWork(e.ownWork), byte(o),
		byte(x.product.index), encodeWork(l.workAhead), byte(latency >> 8), byte(latency), encodeWork(relativeWork), byte(x.tenant + 1)}
}

// encodeWork rounds an amount of work to a byte.
func encodeWork(work float64) byte { return byte(math.Min(work*workSteps+0.5, math.MaxUint8)) }

// parsePeerMessage reads a message; ok is false for one of a wrong length or with an unknown outcome.
func parsePeerMessage(text []byte) (w peerMessage, ok bool) {
	return w, copy(w[:], text) == len(text) && len(text) == len(w) && Outcome(w[4]) <= NotSent
}

func (w peerMessage) wireID() uint16 { return uint16(w[0])<<8 | uint16(w[1]) }

// newerThan compares sequence numbers, which wrap around.
func (w peerMessage) newerThan(sequence byte) bool { return int8(w[2]-sequence) > 0 }

// work is the sender's work in flight at the endpoint.
func (w peerMessage) work() float64 { return float64(w[3]) / workSteps }

// legOutcome is the leg's outcome and its latency.
func (w peerMessage) legOutcome() (Outcome, Millis) {
	return Outcome(w[4]), Millis(uint16(w[7])<<8 | uint16(w[8]))
}
func (w peerMessage) productIndex() int  { return int(w[5]) }
func (w peerMessage) workAhead() float64 { return float64(max(w[6], 1)) / workSteps }

// begunLeg is the tenant and the work of a leg that begins.
func (w peerMessage) begunLeg() (TenantID, float64) {
	return TenantID(w[10]) - 1, float64(w[9]) / workSteps
}

// wireIDOf is the 32-bit FNV-1a hash of an endpoint's id, folded to 16 bits.
func wireIDOf(id EndpointID) uint16 {
	h := uint32(2166136261)
	for _, c := range []byte(id) {
		h = (h ^ uint32(c)) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}

// mixHash is the n-th hash of an endpoint's wireID, the same at every sidecar. It ends with the last step of splitmix64.
func mixHash(wireID uint16, n int) uint64 {
	h := scramble((uint64(wireID)<<20 + uint64(n) + 1) * 0x9e3779b97f4a7c15)
	return h ^ h>>31
}

// scramble is the mixing function of splitmix64 without its last shift.
func scramble(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	return (h ^ h>>27) * 0x94d049bb133111eb
}

// jumpHash is the jump consistent hash of Lamping and Veach: when the fleet grows, few endpoints move to other sidecars.
func jumpHash(h uint64, fleet float64) PeerID {
	at, next := 0.0, 0.0
	for next < fleet {
		at = next
		h = h*2862933555777941757 + 1
		next = math.Floor((at + 1) * (1 << 31) / float64(h>>33+1))
	}
	return PeerID(at)
}

// notifyPeers sends the peers that share a leg's endpoint the outcome of the leg, or that it began, with all of our work
// there. As each message has the whole amount, one that is lost misleads only until the next.
func (b *Balancer) notifyPeers(x *exchange, l *leg, o Outcome, took float64) {
	if !b.pool {
		return
	}
	if l.lost && o != Succeeded {
		took = 0 // the latency was sent when the leg was found to be lost
	}
	l.to.sequence++
	b.message = newPeerMessage(l.to, x, l, o, took, b.relativeWork(x))
	for n, k := range l.to.peers {
		if n < peersPerEndpoint && k.peer != b.self {
			b.NotifyPeer(k.peer, b.message[:])
		}
	}
}

// PeerMessage takes a message of another sidecar: its work in flight at an endpoint, and a leg's start or outcome, which is
// recorded like that of an own leg. A message that is malformed or about an unknown endpoint is ignored, and so is one older
// than the last of the same peer, unless that is longer ago than the longest expected time (the peer may have restarted).
func (b *Balancer) PeerMessage(from PeerID, text []byte) {
	w, ok := parsePeerMessage(text)
	e := b.byWireID[w.wireID()]
	if !b.pool || !ok || e == nil || len(e.peers) == 0 || from < 0 || from == b.self {
		return
	}
	n := e.peerIndex(from)
	// A peer that was not assigned to this endpoint uses it to fill up its subset.
	if n < 0 && len(e.peers) < 2*peersPerEndpoint {
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
		b.peerExchange.product, b.peerLeg =
			&b.products[w.productIndex()], leg{to: e, sentAt: b.now - took, workAhead: w.workAhead()}
		b.recordOutcome(&b.peerExchange, &b.peerLeg, o, float64(took))
	}
	b.dispatchQueue()
}
