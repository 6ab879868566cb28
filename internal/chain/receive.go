package chain

import (
	"fmt"
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// Receive handles a message of another replica. A message of another chain is ignored.
func (r *Replica) Receive(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Chain != r.chain {
		return
	}
	switch body := e.Body.(type) {
	case ViewRequest:
		r.sendView(from)
	case ViewNotice:
		r.Install(body.View)
	default:
		r.receiveInEpoch(now, from, e)
	}
	r.advance(now)
}

// receiveInEpoch handles a message that is only valid in the epoch of its sender. If that is not the epoch in force
// here, the message is dropped, which fences off a replaced head or predecessor, and the side that is behind gets or
// asks for the newer view.
func (r *Replica) receiveInEpoch(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Epoch > r.view.Epoch {
		r.requestNewerView(e.Epoch, from)
		return
	}
	if e.Epoch < r.view.Epoch {
		r.sendView(from)
		return
	}
	if !r.isReceiver(e) {
		return
	}
	switch body := e.Body.(type) {
	case Attach:
		r.receiveAttach(now, from, e.Sender, body)
	case Connect:
		r.receiveConnect(now, from, e.Sender, body)
	case History:
		r.receiveHistory(now, e.Sender, body)
	case Start:
		r.receiveStart(now, e.Sender, body)
	case SnapshotChunk:
		r.receiveSnapshotChunk(now, e.Sender, body)
	case Append:
		r.receiveAppend(e.Sender, body)
	case Acknowledge:
		r.receiveAcknowledge(now, e.Sender, body)
	}
}

// isReceiver reports whether a message is for this replica, and not for one that ran at its address before.
func (r *Replica) isReceiver(e Envelope) bool {
	return e.Receiver == 0 || e.Receiver == r.self.Replica
}

// requestNewerView asks a replica for its view if the given epoch is newer than that of the newest view known here.
func (r *Replica) requestNewerView(epoch uint64, from netip.AddrPort) {
	if epoch > r.newestView().Epoch {
		r.send(from, 0, ViewRequest{})
	}
}

// send queues a message that carries the epoch in force. The receiver is 0 if any replica at the address may handle it.
func (r *Replica) send(to netip.AddrPort, receiver view.ReplicaID, body Body) {
	envelope := Envelope{Chain: r.chain, Epoch: r.view.Epoch, Sender: r.self.Replica, Receiver: receiver, Body: body}
	r.out.Messages = append(r.out.Messages, Outgoing{To: to, Envelope: envelope})
}

// sendView sends the view in force, if there is one.
func (r *Replica) sendView(to netip.AddrPort) {
	if r.view.Epoch > 0 {
		r.send(to, 0, ViewNotice{View: r.view.Clone()})
	}
}

// notifyLearners sends a view that is about to come into force to the learners that receive from this replica.
func (r *Replica) notifyLearners(v view.View) {
	for _, replica := range r.learnerOrder() {
		r.send(r.learners[replica].to.Address, 0, ViewNotice{View: v.Clone()})
	}
}

// reportViolation adds a violation of the protocol by another replica to the output.
func (r *Replica) reportViolation(sender view.ReplicaID, format string, arguments ...any) {
	violation := Violation{Sender: sender, Description: fmt.Sprintf(format, arguments...)}
	r.out.Violations = append(r.out.Violations, violation)
}
