package store

import (
	"context"
	"sync/atomic"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/pause"
	"nickelline/internal/view"
)

const (
	// proposeTimeout bounds the time until a command is committed.
	proposeTimeout = 3 * time.Second
	// proposeRetryPause is the pause before a command that the chain does not take now is proposed again.
	proposeRetryPause = 100 * time.Millisecond
	// barrierTimeout bounds a barrier.
	barrierTimeout = 600 * time.Millisecond
)

var errHeadElsewhere = fault.New(fault.NotReady, "this store is not the head of the partition")

// replica is the interface that a partition needs of its chain node.
type replica interface {
	// ProposeInTerm commits a command of a term in which this replica is the head, and returns the encoded outcome. After an error
	// of a kind other than NotReady the command may have been committed, or may still be. Once the term has ended, the error is of
	// kind NotReady: the command is never forwarded to another head.
	ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error)
	// HeadTerm identifies the period during which this replica is the head without interruption, by the views that are known here.
	// It is 0 if this replica is not the head.
	HeadTerm() uint64
	// Barrier returns once this replica has applied everything that had been committed anywhere when the call began.
	Barrier(ctx context.Context) error
	// IsHead reports whether this replica is the head by the view that is known here. A newer view may say otherwise.
	IsHead() bool
	// View returns the newest view that is known here.
	View() view.View
}

// partition is this store's replica of a partition, as used by the calls of the proxies and by the runner.
type partition struct {
	number  uint32
	replica replica
	state   *state
	clock   *headClock
	// confirmation confirms that this replica has applied all committed commands, and leadership if it is the head.
	confirmation confirmation
	// readConfirmationAge is the age that the confirmation must be below to serve a read.
	readConfirmationAge time.Duration
	// running is the number of items that are running here.
	running atomic.Int32
}

// redirect returns the head to which a call must be sent, or nil if this store is the head.
func (p *partition) redirect() *batchcall.Redirect {
	if p.replica.IsHead() {
		return nil
	}
	current := p.replica.View()
	redirect := &batchcall.Redirect{Epoch: current.Epoch}
	if head, ok := current.Head(); ok {
		redirect.Head = head.Address
	}
	return redirect
}

// propose commits a command if this store is the head, and retries while it is and the chain takes no command. After an error of a
// kind other than NotReady the command may have been committed, or may still be.
func (p *partition) propose(ctx context.Context, command *batch.Command) (batch.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		term := p.replica.HeadTerm()
		if term == 0 {
			return 0, errHeadElsewhere
		}
		outcome, err := p.proposeInTerm(ctx, term, command)
		if err == nil || fault.KindOf(err) != fault.NotReady || !pause.For(ctx, proposeRetryPause) {
			return outcome, err
		}
	}
}

// proposeInTerm commits a command of a term in which this store is the head, with the current reading of this store's clock. After
// an error of a kind other than NotReady the command may have been committed, or may still be. Once the term has ended, the error is
// of kind NotReady, and the command is never committed. Success renews the confirmation if the view has not changed in the meantime
// and this store is its head.
//
// No reading is committed in a later term than that in which it was taken: it would be from before readings of other heads that
// have been committed, and what they have measured would be counted again from it.
func (p *partition) proposeInTerm(ctx context.Context, term uint64, command *batch.Command) (batch.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	requested := time.Now()
	command.Clock = p.clock.reading(requested)
	encoded, err := batch.EncodeCommand(command)
	if err != nil {
		return 0, fault.Wrap(fault.NotReady, err)
	}
	epoch := p.replica.View().Epoch
	result, err := p.replica.ProposeInTerm(ctx, term, encoded)
	if err != nil {
		return 0, err
	}
	if p.replica.IsHead() && p.replica.View().Epoch == epoch {
		p.confirmation.record(requested)
	}
	return batch.DecodeOutcome(result), nil
}
