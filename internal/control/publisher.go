package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/view"
)

// barrierTimeout bounds one barrier of the distributor.
const barrierTimeout = time.Second

// Topic spreads the newest version of something over all processes.
type Topic interface {
	// Publish announces a version.
	Publish(sequence uint64, data []byte)
	// Certify says that at asOf no version was newer.
	Certify(sequence uint64, asOf time.Time)
}

// chainNode is the control chain as the distributor uses it: a *chain.Node.
type chainNode interface {
	Barrier(ctx context.Context) error
	View() view.View
}

// currencyConfirmer proves without the whole chain that what is applied here is current: a *chain.Prover.
type currencyProver interface {
	ConfirmCurrent(ctx context.Context) error
}

// distributor publishes what is committed, and proves now and then that it is current.
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
	// proven is the time at which the newest successful barrier began: what is held here is as new as what was committed
	// then.
	provenAt time.Time
}

// publish announces what was committed since the last call. A new version is as current as the one before it was proven
// to be.
func (d *publisher) publish() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.machine.State()
	if version := state.Version(); version > d.publishedConfiguration {
		d.publishedConfiguration = version
		d.configuration.Publish(version, state.EncodedDocument())
		certify(d.configuration, version, d.provenAt)
	}
	if version := state.PlacementVersion; version > d.publishedPlacement {
		d.publishedPlacement = version
		d.placement.Publish(version, state.Placement)
		certify(d.placement, version, d.provenAt)
	}
}

// certify says that a version is current, unless there is none or no proof.
func certify(topic Topic, version uint64, asOf time.Time) {
	if version > 0 && !asOf.IsZero() {
		topic.Certify(version, asOf)
	}
}

// run proves at intervals that what is held here is current, and whenever it is asked to, until ctx ends.
func (d *publisher) run(ctx context.Context, soon <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-soon:
		}
		d.prove(ctx)
		timer.Reset(d.period)
	}
}

// prove makes one proof, counted from when it begins. A barrier is needed only while commands are under way: it waits for
// members that are cut off until the chain goes on without them.
func (d *publisher) prove(ctx context.Context) {
	begin := time.Now()
	if d.prover.ConfirmCurrent(ctx) != nil {
		begin = time.Now()
		ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
		defer cancel()
		if err := d.node.Barrier(ctx); err != nil {
			d.log.Debug("no proof that the state is current", zap.Error(err))
			return
		}
	}
	d.publish()
	d.certifyAll(begin)
}

func (d *publisher) certifyAll(asOf time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !asOf.After(d.provenAt) {
		return
	}
	d.provenAt = asOf
	certify(d.configuration, d.publishedConfiguration, asOf)
	certify(d.placement, d.publishedPlacement, asOf)
}
