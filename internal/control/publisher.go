package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// barrierTimeout is the timeout of a barrier of the publisher.
const barrierTimeout = time.Second

// Topic disseminates the latest version of a piece of state to all processes.
type Topic interface {
	// Publish announces a version, whose number is sequence, and its data.
	Publish(sequence uint64, data []byte)
	// Certify announces that no newer version existed at asOf.
	Certify(sequence uint64, asOf time.Time)
}

// chainNode is the part of *chain.Node that publisher and HeadStatus use.
type chainNode interface {
	Barrier(ctx context.Context) error
	View() view.View
}

// freshnessProver proves that the state that is applied here is current, without waiting for all members of the chain. It is
// implemented by *chain.Prover.
type freshnessProver interface {
	ConfirmCurrent(ctx context.Context) error
}

// publisher announces the committed configuration and placement, and certifies at intervals that they are current.
type publisher struct {
	node          chainNode
	prover        freshnessProver
	machine       *Machine
	configuration Topic
	placement     Topic
	period        time.Duration // between two proofs
	log           *zap.Logger

	mutex                  sync.Mutex
	publishedConfiguration uint64
	publishedPlacement     uint64
	// provenAt is when the latest successful proof began: the state that is applied here includes everything that was
	// committed before that.
	provenAt time.Time
}

// publish announces the versions that were committed since the last call. It certifies a new version as of the latest proof:
// the version before it was the newest then, so no version newer than the new one existed.
func (p *publisher) publish() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.machine.State()
	if version := state.Version(); version > p.publishedConfiguration {
		p.publishedConfiguration = version
		p.configuration.Publish(version, state.EncodedDocument())
		certify(p.configuration, version, p.provenAt)
	}
	if version := state.PlacementVersion; version > p.publishedPlacement {
		p.publishedPlacement = version
		p.placement.Publish(version, state.Placement)
		certify(p.placement, version, p.provenAt)
	}
}

// certify certifies a version as of a time, unless the version is 0 (none exists) or the time is zero (there was no proof).
func certify(topic Topic, version uint64, asOf time.Time) {
	if version > 0 && !asOf.IsZero() {
		topic.Certify(version, asOf)
	}
}

// run makes proofs at intervals and whenever wake is signalled, until ctx ends.
func (p *publisher) run(ctx context.Context, wake <-chan struct{}) {
	proveRepeatedly(ctx, p.period, wake, p.prove)
}

// prove makes one proof that the state that is applied here is current, and certifies the published versions as of when the
// proof began. It reports whether it succeeded. It makes a barrier only if ConfirmCurrent fails, as it does while commands are
// in progress: a barrier has to wait for unreachable members until the chain continues without them.
func (p *publisher) prove(ctx context.Context) bool {
	begin := time.Now()
	if p.prover.ConfirmCurrent(ctx) != nil {
		begin = time.Now()
		ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
		defer cancel()
		if err := p.node.Barrier(ctx); err != nil {
			p.log.Debug("proof that the control state is current failed", zap.Error(err))
			return false
		}
	}
	p.publish()
	p.certifyAll(begin)
	return true
}

func (p *publisher) certifyAll(asOf time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !asOf.After(p.provenAt) {
		return
	}
	p.provenAt = asOf
	certify(p.configuration, p.publishedConfiguration, asOf)
	certify(p.placement, p.publishedPlacement, asOf)
}
