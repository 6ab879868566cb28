package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// barrierTimeout bounds one barrier of the publisher.
const barrierTimeout = time.Second

// Topic disseminates the latest version of something to all processes.
type Topic interface {
	// Publish announces a version.
	Publish(sequence uint64, data []byte)
	// Certify announces that at asOf no version was newer.
	Certify(sequence uint64, asOf time.Time)
}

// chainNode is the control chain as the publisher and HeadStatus use it: a *chain.Node.
type chainNode interface {
	Barrier(ctx context.Context) error
	View() view.View
}

// currencyProver proves without the whole chain that what is applied here is current: a *chain.Prover.
type currencyProver interface {
	ConfirmCurrent(ctx context.Context) error
}

// publisher announces what is committed, and certifies at intervals that it is current.
type publisher struct {
	node          chainNode
	prover        currencyProver
	machine       *Machine
	configuration Topic
	placement     Topic
	period        time.Duration // between two proofs
	log           *zap.Logger

	mutex                  sync.Mutex
	publishedConfiguration uint64
	publishedPlacement     uint64
	// provenAt is when the latest successful proof began: what is applied here includes everything that was committed then.
	provenAt time.Time
}

// publish announces what was committed since the last call. A new version is certified as of the latest proof, as the one
// before it was current then.
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

// certify announces that a version is current, unless there is no version or no proof.
func certify(topic Topic, version uint64, asOf time.Time) {
	if version > 0 && !asOf.IsZero() {
		topic.Certify(version, asOf)
	}
}

// run makes proofs at intervals, and whenever wake is signalled, until ctx ends.
func (p *publisher) run(ctx context.Context, wake <-chan struct{}) {
	proveRepeatedly(ctx, p.period, wake, p.prove)
}

// prove makes one proof that what is applied here is current, and certifies the published versions as of its beginning. A
// barrier is needed only while commands are in progress: it waits for unreachable members until the chain continues without
// them. It reports whether it succeeded.
func (p *publisher) prove(ctx context.Context) bool {
	begin := time.Now()
	if p.prover.ConfirmCurrent(ctx) != nil {
		begin = time.Now()
		ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
		defer cancel()
		if err := p.node.Barrier(ctx); err != nil {
			p.log.Debug("prove that the control state is current failed", zap.Error(err))
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
