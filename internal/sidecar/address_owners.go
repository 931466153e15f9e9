// This file owns which endpoint an address belongs to where the list names several endpoints at one address: the one that started
// last, as far as the list tells when they did. A new process may come up at the address of one that is gone before the list says
// so. Requests for the old one would go to the new one, which may be of another zone or kind.

package sidecar

import "github.com/lynxjunction/lynxjunction/logic"

// addressOwners has the endpoint that owns each listed address. It belongs to the loop.
type addressOwners map[string]logic.EndpointID

// take decides who owns the address of an endpoint in service, as entry lists it. entries has what was listed before. It returns
// false if entry's endpoint doesn't, and otherwise the entries of the endpoints in service that lose the address to it.
func (o addressOwners) take(entry listEntry, entries map[logic.EndpointID]listEntry) (owns bool, losers []listEntry) {
	id := logic.EndpointID(entry.id)
	known, isKnown := entries[id]
	addr := entry.addr
	if addr == "" {
		addr = known.addr
	}
	if isKnown && known.addr != addr {
		o.release(id, known.addr)
	}
	if addr == "" {
		return true, nil
	}
	ownerID, owned := o[addr]
	owner := entries[ownerID]
	switch {
	case !owned || ownerID == id || owner.addr != addr:
		o[addr] = id
		return true, nil
	case entry.started < owner.started:
		return false, nil
	case entry.started == owner.started: // nothing says which of them has gone
		return true, nil
	}
	o[addr] = id
	for _, other := range entries {
		if other.running && other.addr == addr && other.started < entry.started {
			losers = append(losers, other)
		}
	}
	return true, losers
}

// release gives up an endpoint's address.
func (o addressOwners) release(id logic.EndpointID, addr string) {
	if o[addr] == id {
		delete(o, addr)
	}
}
