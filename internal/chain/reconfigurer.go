package chain

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/view"
)

// Timing of view changes.
const (
	rankDelay       = 250 * time.Millisecond // between the attempts of members, in the order of the chain
	attemptTimeout  = 1500 * time.Millisecond
	callTimeout     = time.Second
	retryMinimum    = 50 * time.Millisecond // after an attempt that failed
	retrySpread     = 200 * time.Millisecond
	firstViewWait   = 500 * time.Millisecond  // for the answers of seeds beyond a majority
	firstStartWait  = 2 * time.Second         // during which all seeds have to answer
	discoveryPeriod = 300 * time.Millisecond  // between the requests of a replica that knows no view
	joinPeriod      = time.Second             // between the requests of a learner
	standbyPeriod   = 2 * time.Second         // the same, where the view has no room
	joinRequestTTL  = 5 * time.Second         // of a learner's request
	learnTimeout    = 3 * time.Second         // until a learner tries another source
	unlistedGrace   = 2500 * time.Millisecond // during which a member that is not a candidate counts as reachable
	viewCheckPeriod = 3 * time.Second         // between a member's requests for a newer view
)

// ReconfigurerOptions describe how the replicas of a chain agree on its views.
type ReconfigurerOptions struct {
	Node *Node
	// Seeds are the internal addresses of the replicas that agree on the first view.
	Seeds []netip.AddrPort
	// FirstStart allows this replica to take part in the agreement on the first view. It must be false unless this is the
	// first start of the whole system; what was allowed once is remembered on the disk.
	FirstStart bool
	Policy     view.Policy
}

// Reconfigurer drives the view changes of a chain: it proposes the next view when members became unreachable or
// learners caught up, and has a replica that no view names learn.
type Reconfigurer struct {
	options ReconfigurerOptions
	node    *Node
	voter   *voter
	began   time.Time
	wake    chan struct{}
	probes  neighbourProbes

	mutex      sync.Mutex // guards what follows
	candidates []view.Candidate
	joins      map[view.ReplicaID]joinRequest
	unlisted   map[view.ReplicaID]time.Duration // since when members are not among the candidates
	leaving    bool

	// Used by the goroutine of Run only.
	highestRound      uint64         // of a proposal that an attempt lost to
	changeNeededSince time.Duration  // since when the view should be changed, 0: it should not
	viewCheckedAt     time.Duration  // when another replica was asked for its view
	peerIndex         int            // of the peer that is asked next for its view
	source            netip.AddrPort // that this learner receives from
	sourceSince       time.Duration  // since when source is used without having caught up
}

// joinRequest is the notice of a learner that it has caught up.
type joinRequest struct {
	member view.Member
	at     time.Duration
}

// NewReconfigurer returns a reconfigurer for a node. It answers the requests of other replicas from now on, and acts by
// itself while Run is running.
func NewReconfigurer(options ReconfigurerOptions) (*Reconfigurer, error) {
	var seeds []netip.AddrPort
	if options.FirstStart {
		seeds = options.Seeds
	}
	voter, err := openVoter(options.Node, seeds)
	if err != nil {
		return nil, err
	}
	r := &Reconfigurer{
		options:  options,
		node:     options.Node,
		voter:    voter,
		began:    time.Now(),
		wake:     make(chan struct{}, 1),
		joins:    make(map[view.ReplicaID]joinRequest),
		unlisted: make(map[view.ReplicaID]time.Duration),
	}
	options.Node.OnView(func(view.View) { notify(r.wake) })
	options.Node.options.Dispatcher.addReconfigurer(options.Node.options.Chain, r)
	return r, nil
}

// now returns the time since the reconfigurer was made.
func (r *Reconfigurer) now() time.Duration { return time.Since(r.began) }

// self returns the own replica as the views name it.
func (r *Reconfigurer) self() view.Member { return r.node.options.Self }

// Run proposes views, or learns, until ctx ends. The probes of neighbours that it starts end with ctx too.
func (r *Reconfigurer) Run(ctx context.Context) {
	go r.probeNeighbours(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if wait := r.act(ctx); wait > 0 {
			timer.Reset(max(wait, retryMinimum))
		}
	}
}

// act does what the view in force calls for, and returns the time until it should be called again, 0 if only a change
// calls for that.
func (r *Reconfigurer) act(ctx context.Context) time.Duration {
	v := r.node.View()
	switch {
	case r.node.stopped():
		return 0
	case v.Has(r.self().Replica):
		r.source = netip.AddrPort{}
		return r.actAsMember(ctx, v)
	case v.Epoch > 0:
		r.changeNeededSince = 0
		return r.actAsLearner(ctx, v)
	case r.voter.votes(v):
		return r.actAsSeed(ctx, v)
	}
	return r.discover(ctx)
}

// actAsMember proposes the next view if one is needed, after the members before it in the chain had time to.
func (r *Reconfigurer) actAsMember(ctx context.Context, v view.View) time.Duration {
	_, needed := r.planNextView(v)
	if !needed && !r.voter.hasAcceptedAfter(v.Epoch) {
		r.changeNeededSince = 0
		r.checkView(ctx)
		return viewCheckPeriod
	}
	now := r.now()
	if r.changeNeededSince == 0 {
		r.changeNeededSince = now
	}
	if due := r.changeNeededSince + time.Duration(r.rank(v))*rankDelay; now < due {
		return due - now
	}
	options := r.nextViewOptions(v)
	return r.attempt(ctx, options, majorityOf(options))
}

// actAsSeed proposes the first view.
func (r *Reconfigurer) actAsSeed(ctx context.Context, v view.View) time.Duration {
	now := r.now()
	if r.changeNeededSince == 0 {
		r.changeNeededSince = now
	}
	rank := max(0, slices.Index(r.voter.seeds, r.self().Address))
	if due := r.changeNeededSince + time.Duration(rank)*rankDelay; now < due {
		return due - now
	}
	options := r.firstViewOptions(v)
	if now-r.changeNeededSince < firstStartWait {
		return r.attempt(ctx, options, len(options.Acceptors))
	}
	return r.attempt(ctx, options, majorityOf(options))
}

// attempt tries to have a view decided, and returns the time until another try.
func (r *Reconfigurer) attempt(ctx context.Context, options view.ProposerOptions, needed int) time.Duration {
	if r.propose(ctx, options, needed) {
		return 0
	}
	return retryMinimum + rand.N(retrySpread)
}
