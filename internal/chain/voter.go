package chain

import (
	"errors"
	"io/fs"
	"net/netip"
	"path"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/fault"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// acceptorName is the name of the file of the acceptor's state within the directory of a chain.
const acceptorName = "acceptor"

// voter is the acceptor of a replica in the agreement on views, with its state on disk. A replica has one whether or not
// it is a member of the chain.
type voter struct {
	node *Node
	// seeds agree on the first view; empty if this replica took no part in the first start of the system.
	seeds []netip.AddrPort

	mutex    sync.Mutex // guards what follows
	acceptor *view.Acceptor
	leaving  bool
	// lastAnsweredNotLeaving is when this replica last answered a proposer that it is not leaving. Until attemptTimeout
	// later that proposer may have a view decided that names this replica.
	lastAnsweredNotLeaving time.Time
}

// openVoter reads the state of a voter from disk. If there is none, the voter is new, and votes on the first view if it
// is one of the seeds.
func openVoter(n *Node, seeds []netip.AddrPort) (*voter, error) {
	vt := &voter{node: n, seeds: seeds}
	data, err := segment.LoadRecord(n.options.FileSystem, vt.path())
	if errors.Is(err, fs.ErrNotExist) {
		vt.acceptor = view.NewAcceptor(view.AcceptorState{})
		return vt, vt.save()
	}
	if err != nil {
		return nil, merry.Prepend(err, "load acceptor state")
	}
	state, seeds, err := view.DecodeAcceptorState(data)
	if err != nil {
		return nil, merry.Prepend(err, "decode acceptor state")
	}
	vt.acceptor = view.NewAcceptor(state)
	vt.seeds = seeds
	return vt, nil
}

// path returns the name of the acceptor's file.
func (vt *voter) path() string { return path.Join(vt.node.options.Directory, acceptorName) }

// save writes the state and returns once it is on disk. The mutex is held.
func (vt *voter) save() error {
	data, err := view.EncodeAcceptorState(vt.acceptor.State(), vt.seeds)
	if err != nil {
		return err
	}
	return segment.SaveRecord(vt.node.options.FileSystem, vt.path(), data)
}

// votes reports whether this replica has a vote on the view after the given one. A voter need not be a member of either.
func (vt *voter) votes(v view.View) bool {
	if v.Epoch == 0 {
		return slices.Contains(vt.seeds, vt.node.options.Self.Address)
	}
	return v.HasVoter(vt.node.options.Self.Replica)
}

// prepare answers the first phase of a proposal. The promise is on disk before it returns.
func (vt *voter) prepare(m view.Prepare) (view.Promise, error) {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	answer := view.Promise{Epoch: m.Epoch, Number: m.Number}
	if v := vt.node.View(); m.Epoch == v.Epoch+1 && vt.votes(v) {
		before := vt.acceptor.State()
		answer = vt.acceptor.Prepare(m)
		if err := vt.saveIfChanged(before); err != nil {
			return view.Promise{}, err
		}
	}
	answer.Sender = vt.node.options.Self
	answer.Leaving = vt.leaving
	if !vt.leaving {
		vt.lastAnsweredNotLeaving = time.Now()
	}
	status := vt.node.Status()
	answer.Complete = status.Complete && status.Epoch+1 == m.Epoch
	return answer, nil
}

// accept answers the second phase of a proposal. The accepted view is on disk before it returns.
func (vt *voter) accept(m view.Accept) (view.Accepted, error) {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	if v := vt.node.View(); m.Epoch != v.Epoch+1 || !vt.votes(v) {
		return view.Accepted{}, fault.New(fault.NotReady, "this replica has no vote on the view of epoch %d", m.Epoch)
	}
	before := vt.acceptor.State()
	answer := vt.acceptor.Accept(m)
	return answer, vt.saveIfChanged(before)
}

// confirms reports whether the view in force is that of the given epoch, this replica has a vote on the next one, and it
// has accepted no later view.
func (vt *voter) confirms(epoch uint64) bool {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	v := vt.node.View()
	if vt.node.stopped() || v.Epoch != epoch || !vt.votes(v) {
		return false
	}
	return !vt.acceptedAfter(epoch)
}

// hasAcceptedAfter reports whether this replica has accepted a view for an epoch after the given one. That view may or
// may not be decided.
func (vt *voter) hasAcceptedAfter(epoch uint64) bool {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	return vt.acceptedAfter(epoch)
}

// acceptedAfter is hasAcceptedAfter with the mutex held.
func (vt *voter) acceptedAfter(epoch uint64) bool {
	state := vt.acceptor.State()
	return state.Epoch > epoch && state.Accepted != nil
}

// saveIfChanged writes the state unless it equals before. If that fails, the state is before again, so that a later request does not find
// an answer here that may not be on disk. The answer that may be on disk all the same was given to nobody, so that a later one may replace
// it. Once the node has failed saveIfChanged returns an error, so that the voter answers nothing.
func (vt *voter) saveIfChanged(before view.AcceptorState) error {
	if vt.node.stopped() {
		return fault.New(fault.NotReady, "the replica has failed")
	}
	if vt.acceptor.State() == before {
		return nil
	}
	if err := vt.save(); err != nil {
		vt.acceptor = view.NewAcceptor(before)
		vt.node.diskHealth.failOnce(voteTask, err)
		return err
	}
	return nil
}

// leave makes the voter answer proposers from now on that this replica is leaving. It returns the time until which a
// proposer that got another answer may still have a view decided that names this replica.
func (vt *voter) leave() time.Time {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	vt.leaving = true
	return vt.lastAnsweredNotLeaving.Add(attemptTimeout)
}

// nextRound returns a round for a proposal of this replica that is higher than any that its acceptor has promised.
func (vt *voter) nextRound(epoch uint64) uint64 {
	vt.mutex.Lock()
	defer vt.mutex.Unlock()
	state := vt.acceptor.State()
	if state.Epoch != epoch {
		return 1
	}
	return state.Promised.Round + 1
}
