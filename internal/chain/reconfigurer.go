package chain

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"nickelline/internal/pause"
	"nickelline/internal/view"
)

// Timing of view changes.
const (
	rankDelay       = 250 * time.Millisecond // between the attempts of members, in the order of the chain
	attemptTimeout  = 1500 * time.Millisecond
	callTimeout     = time.Second
	retryMinimum    = 50 * time.Millisecond   // until the next attempt after one that failed
	retrySpread     = 200 * time.Millisecond  // of the random delay added to retryMinimum, at least
	duelSpread      = 4                       // the same after an attempt that another proposer has beaten, in durations of that attempt
	firstViewWait   = 500 * time.Millisecond  // for the answers of seeds beyond a majority
	firstStartWait  = 2 * time.Second         // during which all seeds have to answer, and not only a majority
	discoveryPeriod = 300 * time.Millisecond  // between the requests of a replica that knows no view
	joinPeriod      = time.Second             // between the requests of a learner to join
	standbyPeriod   = 2 * time.Second         // the same while the view has its maximum of members
	joinRequestTTL  = 5 * time.Second         // how long a learner's request to join is valid
	learnTimeout    = 3 * time.Second         // until a learner that has not caught up tries another source
	unlistedGrace   = 2500 * time.Millisecond // during which a member that is not a candidate counts as reachable
	viewCheckPeriod = 3 * time.Second         // between a member's requests for a newer view
)

// ReconfigurerOptions describe how the replicas of a chain agree on its views.
type ReconfigurerOptions struct {
	Node *Node
	// Seeds are the internal addresses of the replicas that agree on the first view.
	Seeds []netip.AddrPort
	// FirstStart allows this replica to take part in the agreement on the first view. It must be false unless this is the
	// first start of the whole system. The permission is stored on disk and applies to later starts too.
	FirstStart bool
	Policy     view.Policy
}

// Reconfigurer drives the view changes of a chain: it proposes the next view when members have become unreachable or
// learners have caught up, and makes a replica that no view names learn.
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
	unlisted   map[view.ReplicaID]time.Duration // when members of the view were first missing among the candidates
	leaving    bool

	// Used by the goroutine of Run only.
	highestRound      uint64         // round of the proposal that the last attempt lost to
	changeNeededSince time.Duration  // since when a view change has been needed, 0 if none is
	viewCheckedAt     time.Duration  // when checkView last asked another replica for its view
	peerIndex         int            // counts the calls of nextPeer
	source            netip.AddrPort // member that this learner receives from
	sourceSince       time.Duration  // when source was chosen, or this learner was last known to have caught up
}

// joinRequest is the request of a learner that has caught up to join the view.
type joinRequest struct {
	member view.Member
	at     time.Duration
}

// NewReconfigurer returns a reconfigurer for a node. It answers the requests of other replicas from then on, and proposes
// views or learns while Run is running.
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

// self returns this replica as the views name it.
func (r *Reconfigurer) self() view.Member { return r.node.options.Self }

// Run proposes views, or learns, until ctx ends. The probes of neighbours that it starts end with ctx too.
func (r *Reconfigurer) Run(ctx context.Context) {
	go r.probeNeighbours(ctx)
	pause.Repeat(ctx, r.wake, func() time.Duration {
		wait := r.act(ctx)
		if wait <= 0 {
			return 0
		}
		return max(wait, retryMinimum)
	})
}

// act acts in the role that this replica has in the view in force. It returns the time until it should be called again,
// or 0 if that is needed only after a change.
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

// actAsMember proposes the next view if one is needed, or if this replica has accepted one that may not be decided yet.
// It first gives the members before this one in the chain time to do so.
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

// attempt tries to have a view decided, and returns the time until the next attempt, 0 if a view was decided. After an attempt that
// another proposer has beaten the delay is drawn from a multiple of what the attempt took: if several replicas that take long, for
// example because their disks are slow, tried again sooner, each would beat the others before any of them came to its end.
func (r *Reconfigurer) attempt(ctx context.Context, options view.ProposerOptions, needed int) time.Duration {
	began := time.Now()
	switch r.propose(ctx, options, needed) {
	case attemptDecided:
		return 0
	case attemptBeaten:
		return retryMinimum + rand.N(max(retrySpread, duelSpread*time.Since(began)))
	case attemptFailed:
	}
	return retryMinimum + rand.N(retrySpread)
}
