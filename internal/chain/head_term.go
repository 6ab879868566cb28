package chain

import (
	"time"

	"nickelline/internal/view"
)

// A term is a sequence of views with consecutive epochs that all name the same replica as head. It is identified by the
// epoch of its first view. While a term lasts, no other replica appends a command.

// termIn returns the term of this replica in a new view, 0 if it is not the head. The current term continues if the
// epoch of the view is the next one. If views were missed, another replica may have been head meanwhile.
func (r *Replica) termIn(v view.View) uint64 {
	head, ok := v.Head()
	switch {
	case !ok || head.Replica != r.self.Replica:
		return 0
	case r.term != 0 && v.Epoch == r.view.Epoch+1:
		return r.term
	}
	return v.Epoch
}

// HeadTerm returns the term in which this replica is head, 0 if the view in force names another one.
func (r *Replica) HeadTerm() uint64 { return r.term }

// ProposeInTerm is Propose for a command that depends on what this replica has done as head since a term began. The
// command is rejected if that term is over.
func (r *Replica) ProposeInTerm(now time.Duration, id, term uint64, command []byte) {
	if term == 0 || r.term != term {
		r.out.Rejected = append(r.out.Rejected, Rejected{Proposal: id})
		return
	}
	r.Propose(now, id, command)
}
