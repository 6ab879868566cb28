package chain

import (
	"slices"

	"nickelline/internal/view"
)

// nextViewOptions describes an attempt to have the next view decided by the electorate of the current one.
func (r *Reconfigurer) nextViewOptions(v view.View) view.ProposerOptions {
	candidates := r.nextViewCandidates(v)
	options := r.epochOptions(v)
	for _, voter := range v.Electorate() {
		options.Acceptors = append(options.Acceptors, voter.Address)
	}
	for _, candidate := range candidates {
		if candidate.Reachable {
			options.Awaited = append(options.Awaited, candidate.Address)
		}
		if !slices.Contains(options.Acceptors, candidate.Address) {
			options.NonVoters = append(options.NonVoters, candidate.Address)
		}
	}
	options.Choose = func(answers []view.Promise) (view.View, bool) {
		return view.Next(v, view.UpdateCandidates(candidates, answers), r.options.Policy)
	}
	return options
}

// firstViewOptions describes an attempt to have the first view decided, whose members are taken from the seeds that
// promise.
func (r *Reconfigurer) firstViewOptions(v view.View) view.ProposerOptions {
	options := r.epochOptions(v)
	options.Acceptors = r.voter.seeds
	options.Awaited = r.voter.seeds
	options.PromiseTimeout = firstViewWait
	options.Choose = func(promises []view.Promise) (view.View, bool) {
		return view.First(options.Chain, promises, r.options.Policy)
	}
	return options
}

// epochOptions returns what all attempts for the epoch after a view have in common.
func (r *Reconfigurer) epochOptions(v view.View) view.ProposerOptions {
	epoch := v.Epoch + 1
	round := max(r.voter.nextRound(epoch), r.highestRound+1)
	return view.ProposerOptions{
		Chain:  r.node.options.Chain,
		Epoch:  epoch,
		Number: view.ProposalNumber{Round: round, Replica: r.self().Replica},
	}
}

// majorityOf returns how many acceptors are a majority.
func majorityOf(options view.ProposerOptions) int { return len(options.Acceptors)/2 + 1 }
