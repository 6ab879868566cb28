package chain

import (
	"time"

	"nickelline/internal/view"
)

// Install takes a decided view, which comes into force once it is on disk. A view that is not newer than the newest
// known one, or is of another chain, is ignored.
func (r *Replica) Install(v view.View) {
	newest := r.view.Epoch
	if r.installing != nil {
		newest = r.installing.Epoch
	}
	if v.Epoch <= newest || v.Chain != r.chain {
		return
	}
	v = v.Clone()
	r.installing = &v
	r.write(DiskOperation{Record: r.record(v)}, 0)
}

// recordWritten puts the completeness and the view of a record into force, now that the record is on disk.
func (r *Replica) recordWritten(now time.Duration, record *Record) {
	if record.CompleteEpoch > r.completeEpoch {
		r.completeEpoch = record.CompleteEpoch
		r.connectSuccessor(now)
	}
	if r.installing != nil && r.installing.Epoch == record.View.Epoch {
		installed := *r.installing
		r.installing = nil
		r.enterView(now, installed)
	}
}

// enterView puts a view that is on disk into force. It ends all sessions of the previous epoch.
func (r *Replica) enterView(now time.Duration, v view.View) {
	r.notifyLearners(v)
	formerTerm := r.term
	r.term = r.termIn(v)
	r.view = v
	if member, ok := v.Member(r.self.Replica); ok && member.Joined <= 1 && r.lostEpoch == 0 {
		r.completeEpoch = max(r.completeEpoch, 1)
	}
	r.successor = nil
	clear(r.learners)
	r.resetUpstream(now)
	r.connectSuccessor(now)
	r.updateHeadRole(formerTerm)
	if v.Epoch > 0 {
		r.out.Views = append(r.out.Views, v.Clone())
	}
}

// record returns the record to store with a view. While a view is being installed, callers pass that view so that no
// record replaces it with an older one.
func (r *Replica) record(v view.View) *Record {
	return &Record{
		View:          v.Clone(),
		CompleteEpoch: max(r.completeEpoch, r.submittedCompleteEpoch),
		Generation:    r.generation,
		LostEpoch:     r.lostEpoch,
	}
}

// newestView returns the view that the record on disk holds, or will hold once it is written.
func (r *Replica) newestView() view.View {
	if r.installing != nil {
		return *r.installing
	}
	return r.view
}
