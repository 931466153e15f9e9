// Pool: the interfaces of a deployment in which clients reach a pool of sidecars. This file owns which parts a
// configuration requires, what is exchanged between them and the module, and the bounds of it. It must never define a
// protocol of its own: none is specified yet for messages, pushed lists or several exchanges on one connection.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/valyala/fastjson"

	"github.com/lynxjunction/lynxjunction/internal/terms"
	"github.com/lynxjunction/lynxjunction/logic"
)

// messenger carries messages between the sidecars of a pool. Neither sending nor the callback of receive blocks: a
// message that can't be sent or taken at once is lost.
type messenger interface {
	send(to logic.PeerID, text []byte)
	receive(ctx context.Context, each func(from logic.PeerID, text []byte))
}

// pusher delivers lists without being called for them.
type pusher interface {
	follow(ctx context.Context, each func(endpointList))
}

// maxMessageBytes bounds a received message; a longer one is dropped.
const maxMessageBytes = 256

// messageReceived is a message from another sidecar.
type messageReceived struct {
	from logic.PeerID
	text []byte
}

// readDeployment reads which kind of deployment the configuration describes: a sidecar for each client, or a pool. A
// mixture is rejected, with the key that does not fit.
func (s *Config) readDeployment(v, settings *fastjson.Value) error {
	if err := terms.Check(settings); err != nil {
		return err
	}
	peers := v.GetArray("peers")
	for n, p := range peers {
		addr := string(p.GetStringBytes())
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("peers[%d]: %w", n, err)
		}
		s.Peers = append(s.Peers, addr)
	}
	fleet := settings.GetInt("fleet-size")
	switch s.listPushed, s.streamsPerConn = terms.ListIsPushed(settings), terms.StreamsPerConnection(settings); {
	case len(peers) > 0 && !terms.PeersAllowed(settings):
		return errors.New("peers: settings.allowed.peers does not allow messages")
	case terms.PeersAllowed(settings) && len(peers) != fleet:
		return fmt.Errorf("peers: %d addresses, but settings.fleet-size is %d", len(peers), fleet)
	case s.streamsPerConn > 1 && !terms.PeersAllowed(settings):
		return fmt.Errorf("settings.allowed.multiplex: %d exchanges on a connection are allowed in pools only", s.streamsPerConn)
	}
	return nil
}

// unsupported returns an error that names the first key which requires a part that this build does not have.
func (s *Config) unsupported() error {
	switch {
	case s.terms.Peers && s.messenger == nil:
		return errors.New("settings.allowed.peers: messages between sidecars are not implemented in this build")
	case s.listPushed && s.pusher == nil && s.Discovery == "":
		return errors.New("discovery: settings.registry-mode is pushed, but no agent is named whose watch could be followed")
	case s.streamsPerConn > 1:
		return errors.New("settings.allowed.multiplex: several exchanges on one connection are not implemented in this build")
	}
	return nil
}

// useAgentTerms sets the terms of a sidecar next to an agent, to which lists are pushed and whose watch is followed
// like discovery's. The sidecar counts as notified of whatever the agent has, from the start of the process and whether
// or not a watch is open. So the agent is called at once, and again before a request could be sent to a draining
// endpoint. The agent serves only this sidecar, so the calls need not be spread in time.
func (s *Config) useAgentTerms(drainGrace logic.Millis) {
	s.terms.PullList, s.terms.HasList, s.terms.SoleCaller = true, false, true
	s.terms.AskWithin = max(drainGrace, defaultAgentGraceMs) * agentAskShare
}

const (
	// defaultAgentGraceMs is the least drain grace assumed, also where the settings name none.
	defaultAgentGraceMs = 100
	// agentAskShare is AskWithin as a share of the drain grace. After a failure the module waits a quarter of AskWithin
	// at most, or four times as long in a large fleet.
	agentAskShare = 0.25
)

// startPool starts the parts that the deployment has.
func (s *Config) startPool(ctx context.Context, l *loop) {
	if l.messages = s.messenger; l.messages != nil {
		go l.messages.receive(ctx, l.receiveMessage)
	}
	if s.pusher != nil {
		go s.pusher.follow(ctx, func(i endpointList) { l.post(listReceived{endpointList: i}) })
	}
}

// receiveMessage queues a message for the loop. It never blocks: under load messages are dropped first, since the
// module copes with their loss.
func (l *loop) receiveMessage(from logic.PeerID, text []byte) {
	if len(text) <= maxMessageBytes {
		select {
		case l.queue <- messageReceived{from, append([]byte(nil), text...)}:
			return
		default:
		}
	}
	l.counters.messagesLost.Add(1)
}

func (e messageReceived) handle(l *loop) {
	l.counters.messagesReceived.Add(1)
	l.module.PeerMessage(e.from, e.text)
}

// NotifyPeer sends a message of the module to another sidecar, if this build can carry messages.
func (l *loop) NotifyPeer(to logic.PeerID, text []byte) {
	if l.messages != nil {
		l.counters.messagesSent.Add(1)
		l.messages.send(to, text)
	}
}
