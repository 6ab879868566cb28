package chain

import (
	"fmt"
	"net/netip"

	"nickelline/internal/view"
)

// SessionStatus describes one session of a replica, for logs: with the replica that it receives from, or with one that it sends to.
type SessionStatus struct {
	Role    SessionRole
	Peer    view.ReplicaID // 0 if it is not known yet
	Address netip.AddrPort
	Session Session
	State   string
	// Stored is the sequence up to which the log is on the disk of the receiver, as this replica knows.
	Stored uint64
}

// SessionRole is the role of the other side of a session.
type SessionRole string

// The roles of the other side.
const (
	RoleUpstream  SessionRole = "upstream"
	RoleSuccessor SessionRole = "successor"
	RoleLearner   SessionRole = "learner"
)

// States of the receiving side of a session; linkState has those of the sending side.
const (
	stateWaiting = "waiting for a session"
	stateStarted = "receiving entries"
	stateLoading = "receiving a snapshot"
)

// String returns the status as one line.
func (s SessionStatus) String() string {
	return fmt.Sprintf("%s %d at %v: session %d.%d, %s, stored up to %d",
		s.Role, s.Peer, s.Address, s.Session.Generation, s.Session.Number, s.State, s.Stored)
}

// String returns the phase in words.
func (s linkState) String() string {
	switch s {
	case linkConnecting:
		return "connecting"
	case linkAwaitingSnapshot:
		return "awaiting a snapshot"
	case linkSendingSnapshot:
		return "sending a snapshot"
	default:
		return "sending entries"
	}
}

// Sessions returns the sessions of the replica: that with its upstream replica first, if it has one.
func (r *Replica) Sessions() []SessionStatus {
	var sessions []SessionStatus
	if r.upstream.from.IsValid() {
		sessions = append(sessions, r.upstreamStatus())
	}
	for _, l := range r.links() {
		role := RoleSuccessor
		if l.learner {
			role = RoleLearner
		}
		sessions = append(sessions, SessionStatus{
			Role:    role,
			Peer:    l.to.Replica,
			Address: l.to.Address,
			Session: l.session,
			State:   l.state.String(),
			Stored:  l.stored,
		})
	}
	return sessions
}

func (r *Replica) upstreamStatus() SessionStatus {
	u := &r.upstream
	state := stateWaiting
	switch {
	case u.started:
		state = stateStarted
	case u.snapshot != nil:
		state = stateLoading
	}
	return SessionStatus{
		Role:    RoleUpstream,
		Peer:    u.sender,
		Address: u.from,
		Session: u.session,
		State:   state,
		Stored:  r.synced,
	}
}

// Sessions returns the sessions of the replica, for logs.
func (n *Node) Sessions() []SessionStatus {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.replica.Sessions()
}
