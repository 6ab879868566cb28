package quota

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/configuration"
	"nickelline/internal/pause"
	"nickelline/internal/peer"
)

const (
	renewPeriod     = 500 * time.Millisecond
	callTimeout     = 250 * time.Millisecond
	callPause       = 4 * time.Millisecond   // between two calls, so that more waiting requests share a call
	failurePause    = 150 * time.Millisecond // between a failed call and the next renewal of all leases
	unreachableSpan = 200 * time.Millisecond // time after a failed call in which requests do not wait for a grant
	maxWait         = 60 * time.Millisecond  // upper bound of the time that a request waits for a token
	leaveAttempts   = 3
)

// Caller sends a request to another node and waits for the answer. *peer.Transport implements it.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Limiter admits the requests of a proxy under the leases that it renews at the allocator. It is safe for concurrent use
// except for Run and Leave, which must not run at the same time.
type Limiter struct {
	caller       Caller
	controlNodes func() []netip.AddrPort
	log          *zap.Logger
	wake         chan struct{}

	mutex       sync.Mutex
	buckets     *leasedBuckets
	waiting     map[string][]*waitingRequest
	failedAt    time.Time
	allocator   netip.AddrPort
	epoch       uint64 // newest known epoch of an allocator
	mustReclaim bool   // the allocator may not know all leases
	admissions  Admissions

	// generation and sequence are not guarded by the mutex: only the goroutines of Run and, after it, Leave use them.
	generation uint64
	sequence   uint64
}

// NewLimiter returns the limiter of a proxy. controls returns the internal addresses of the live control nodes.
func NewLimiter(p Policy, caller Caller, controls func() []netip.AddrPort, log *zap.Logger) *Limiter {
	return &Limiter{
		caller:       caller,
		controlNodes: controls,
		log:          log,
		generation:   rand.Uint64(),
		wake:         make(chan struct{}, 1),
		buckets:      newLeasedBuckets(p),
		waiting:      make(map[string][]*waitingRequest),
		mustReclaim:  true,
	}
}

// HandleAnnouncements sets the handler of the announcements of new allocators. It must be called before the transport
// is started.
func (l *Limiter) HandleAnnouncements(t *peer.Transport) {
	t.HandleDatagram(kindAnnounce, func(from netip.AddrPort, m peer.Message) {
		epoch, err := decodeAnnouncement(m.Body)
		if err != nil {
			l.log.Debug("decode quota announcement failed", zap.Stringer("from", from), zap.Error(err))
			return
		}
		l.followAllocator(from, epoch)
	})
}

// followAllocator directs renewals to a new allocator and wakes Run, which presents all leases to it.
func (l *Limiter) followAllocator(allocator netip.AddrPort, epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if epoch < l.epoch {
		return
	}
	l.epoch = epoch
	l.allocator = allocator
	l.mustReclaim = true
	l.wakeRun()
}

// wakeRun makes Run renew soon. It does not block.
func (l *Limiter) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Refund puts back the token of a request that was admitted at takenAt and certainly was not executed by any backend. A token
// that was taken more than Policy.refundSpan ago is not put back.
func (l *Limiter) Refund(tenant *configuration.Tenant, takenAt time.Time) {
	if tenant == nil || !tenant.IsRateLimited() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.admissions.Refunded++
	l.buckets.refund(time.Now(), takenAt, tenant.Name)
}

// Run renews all leases every renewPeriod, and asks for grants when requests wait, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.wakeRun()
	timer := time.NewTimer(renewPeriod)
	defer timer.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
			all = true
			timer.Reset(renewPeriod)
		}
		if !l.renew(ctx, all) {
			timer.Reset(failurePause)
		}
		if !pause.For(ctx, callPause) {
			return
		}
	}
}

// Leave gives up all leases and notifies the allocator. Call it when the process is about to exit; without it, the next
// allocator would wait in its grace period until the leases have expired. Leave must be called after Run has returned and
// after the last request was sent. If no attempt succeeds, the leases expire.
func (l *Limiter) Leave(ctx context.Context) {
	if l.sequence == 0 {
		return // never registered
	}
	l.mutex.Lock()
	l.buckets.endLeases()
	l.mutex.Unlock()
	for range leaveAttempts {
		answer, err := l.call(ctx, renewalRound{complete: true, leaving: true})
		if err == nil && !answer.moved {
			return
		}
	}
}
