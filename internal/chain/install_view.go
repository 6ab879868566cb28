package chain

import (
	"time"

	"nickelline/internal/view"
)

// Install takes a view that was decided. It comes into force once it is on the disk.
func (r *Replica) Install(now time.Duration, v view.View) {
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

// enterView brings a view into force, which is on the disk.
func (r *Replica) enterView(now time.Duration, v view.View) {
	r.notifyLearners(v)
	r.view = v
	if member, ok := v.Member(r.self.Replica); ok && member.Joined <= 1 {
		r.completeEpoch = max(r.completeEpoch, 1)
	}
	r.successor = nil
	clear(r.learners)
	r.resetUpstream(now)
	r.connectSuccessor(now)
	r.updateHeadRole(now)
	if v.Epoch > 0 {
		r.out.Views = append(r.out.Views, v.Clone())
	}
}

// record is what should be on the disk with a view. While one is being installed a later record keeps it.
func (r *Replica) record(v view.View) *Record {
	return &Record{View: v.Clone(), CompleteEpoch: max(r.completeEpoch, r.completing), Generation: r.generation}
}

// newestView is the one that the record on disk holds, or will.
func (r *Replica) newestView() view.View {
	if r.installing != nil {
		return *r.installing
	}
	return r.view
}
