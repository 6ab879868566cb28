package discovery

import (
	"context"
	"hash/fnv"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/settings"
)

// Distribution disseminates the list among the nodes. Versions are ordered; the higher one replaces the lower.
type Distribution interface {
	// Current returns the newest version that the node knows, and false if it knows none.
	Current() (CurrentList, bool)
	// Publish disseminates a new version.
	Publish(sequence uint64, data []byte)
	// Certify records and disseminates the proof that the version matched the platform's listing at asOf.
	Certify(sequence uint64, asOf time.Time)
	// Pull gets a newer version, or a younger proof of the current one, from another node.
	Pull(ctx context.Context, node netip.AddrPort) error
}

// CurrentList is the newest version of the list that a node knows. The proof is that of this version.
type CurrentList struct {
	Sequence uint64
	// Data is the encoded list.
	Data []byte
	// ProofAge is the age of the newest proof that the version matched the platform's listing, or math.MaxInt64 if there is none.
	ProofAge time.Duration
}

// Ranks provides the rank of this node among the live control nodes, which are ordered by address.
type Ranks interface {
	// Rank returns the rank, whether this node is a control node, and the number of live nodes of all roles.
	Rank() (rank int, control bool, members int)
	// Peers returns the other live control nodes, ordered by address.
	Peers() []netip.AddrPort
}

// Source is the listing that a Poller polls; *Platform implements it.
type Source interface {
	// Read polls all pages of the listing; see Platform.Read.
	Read(ctx context.Context, primary bool, onPage func(page []Backend)) (Listing, error)
}

const (
	minPause           = 50 * time.Millisecond
	maxStartPause      = 100 * time.Millisecond  // while the list has no proof
	defaultPollTimeout = 1500 * time.Millisecond // a listing that takes longer is too stale to be useful
	firstPollTimeout   = 4 * time.Second         // while no list is known
	pullTimeout        = 200 * time.Millisecond
)

// Poller polls the platform's listing when its node is due to poll, and publishes changes. It is not safe for
// concurrent use.
type Poller struct {
	source         Source
	distribution   Distribution
	ranks          Ranks
	schedule       *schedule
	self           netip.AddrPort
	log            *zap.Logger
	decoded        decodedList
	pagesVersion   uint64 // version whose number of pages has been passed to the schedule
	fruitlessPulls int    // consecutive pulls that brought no younger proof
}

// NewPoller returns the poller of the node whose internal address is self.
func NewPoller(s *settings.Settings, self netip.AddrPort, source Source, d Distribution, r Ranks,
	log *zap.Logger) *Poller {
	heartbeat := time.Duration(s.HeartbeatMs) * time.Millisecond
	drainTimeout := settings.Milliseconds(s.Bounds.DrainTimeoutMs)
	return &Poller{
		source:       source,
		distribution: d,
		ranks:        r,
		schedule:     newSchedule(heartbeat, drainTimeout, s.CloudAPI.RatePerS, seedOf(self), time.Now()),
		self:         self,
		log:          log,
	}
}

// seedOf returns a random seed that differs between nodes.
func seedOf(address netip.AddrPort) uint64 {
	h := fnv.New64a()
	h.Write([]byte(address.String()))
	return h.Sum64()
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now, role := time.Now(), p.role()
		pollWait, pullWait := p.schedule.pollWait(now, role), p.schedule.pullWait(now, role)
		if pollWait <= 0 {
			p.poll(ctx, role.isPrimary())
			continue
		}
		if pullWait <= 0 {
			p.pull(ctx, now, role)
			continue
		}
		wait := min(pollWait, pullWait)
		if role.ProofAge == unproven {
			wait = min(wait, maxStartPause) // the rank can change at any time while nodes join
		}
		if pause(ctx, max(wait, minPause)) != nil {
			return
		}
	}
}

// role returns the inputs of the schedule. When the current version has changed, it also tells the schedule the number
// of pages of that list, which another node may have polled.
func (p *Poller) role() nodeRole {
	current, known := p.distribution.Current()
	if known && current.Sequence != p.pagesVersion {
		p.pagesVersion = current.Sequence
		p.schedule.setPages(pageCount(current.Data))
	}
	rank, control, members := p.ranks.Rank()
	return nodeRole{Control: control, Rank: rank, Members: members, ProofAge: proofAge(current, known)}
}

// proofAge returns the age of the proof of the current version, unproven if there is no version or no proof.
func proofAge(current CurrentList, known bool) time.Duration {
	if !known {
		return unproven
	}
	return current.ProofAge
}

// pull requests a younger proof from a control node. It starts with the first control node, and moves on to the next
// after each pull that brings no younger proof.
func (p *Poller) pull(ctx context.Context, now time.Time, before nodeRole) {
	p.schedule.pullStarted(now)
	peers := p.ranks.Peers()
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	peer := peers[p.fruitlessPulls%len(peers)]
	err := p.distribution.Pull(ctx, peer)
	p.fruitlessPulls++
	if current, known := p.distribution.Current(); proofAge(current, known) < before.ProofAge {
		p.fruitlessPulls = 0
	}
	if err != nil {
		p.log.Debug("pull proof of list of backends failed", zap.Stringer("peer", peer), zap.Error(err))
	}
}

// poll polls the listing once and publishes changes.
func (p *Poller) poll(ctx context.Context, primary bool) {
	startedAt := time.Now()
	current, known := p.distribution.Current()
	before := current.Sequence
	timeout := p.schedule.pollTimeout(known)
	p.schedule.pollStarted(startedAt)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listing, err := p.source.Read(ctx, primary, func(page []Backend) {
		if published, ok := p.publishDraining(page); ok {
			before = published
		}
	})
	now := time.Now()
	p.schedule.pollFinished(now, listing.Pages, err)
	if err != nil {
		p.log.Debug("poll platform listing failed", zap.Int("pages", listing.Pages), zap.Error(err))
		return
	}
	if now.Sub(startedAt) <= timeout {
		p.publishOrCertify(listing.List, before, startedAt, now)
	}
}
