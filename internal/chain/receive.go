package chain

import (
	"fmt"
	"net/netip"
	"time"

	"nickelline/internal/view"
)

// Receive takes a message of another replica.
func (r *Replica) Receive(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Chain != r.chain {
		return
	}
	switch body := e.Body.(type) {
	case ViewRequest:
		r.sendView(from)
	case ViewNotice:
		r.Install(now, body.View)
	default:
		r.receiveInEpoch(now, from, e)
	}
	r.followUp(now)
}

// receiveInEpoch takes nothing from another epoch, but has the side that is behind learn the newer view.
func (r *Replica) receiveInEpoch(now time.Duration, from netip.AddrPort, e Envelope) {
	if e.Epoch > r.view.Epoch {
		r.requestNewerView(e.Epoch, from)
		return
	}
	if e.Epoch < r.view.Epoch {
		r.sendView(from)
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
		r.receiveAppend(now, e.Sender, body)
	case Acknowledge:
		r.receiveAcknowledge(now, e.Sender, body)
	}
}

// requestNewerView asks a replica for its view if that is newer than the own one.
func (r *Replica) requestNewerView(epoch uint64, from netip.AddrPort) {
	if epoch > r.newestView().Epoch {
		r.send(from, ViewRequest{})
	}
}

func (r *Replica) send(to netip.AddrPort, body Body) {
	envelope := Envelope{Chain: r.chain, Epoch: r.view.Epoch, Sender: r.self.Replica, Body: body}
	r.out.Messages = append(r.out.Messages, Outgoing{To: to, Envelope: envelope})
}

func (r *Replica) sendView(to netip.AddrPort) {
	if r.view.Epoch > 0 {
		r.send(to, ViewNotice{View: r.view.Clone()})
	}
}

// notifyLearners tells those who were fed here that a view follows.
func (r *Replica) notifyLearners(v view.View) {
	for _, replica := range r.learnerOrder() {
		r.send(r.learners[replica].to.Address, ViewNotice{View: v.Clone()})
	}
}

func (r *Replica) reportViolation(format string, arguments ...any) {
	r.out.Violations = append(r.out.Violations, fmt.Sprintf(format, arguments...))
}
