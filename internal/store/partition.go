package store

import (
	"context"
	"sync/atomic"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/view"
)

const (
	// proposeTimeout bounds how long a command may take until it is committed.
	proposeTimeout = 3 * time.Second
	// barrierTimeout bounds a barrier.
	barrierTimeout = 600 * time.Millisecond
)

// replica is what a partition needs of its chain.
type replica interface {
	// Propose has a command committed, and returns the encoded outcome. An error of a kind other than NotReady leaves open whether
	// it is or will be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ProposeInTerm is Propose for a command that builds on what this replica has done as head since the term began. Once the term
	// is over the error is of kind NotReady: another head never gets the command.
	ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error)
	// HeadTerm identifies the time during which this replica is the head without interruption, by the views that are known here. It
	// is 0 if this replica is not the head.
	HeadTerm() uint64
	// Barrier returns once this replica has applied all that was committed anywhere when the call began.
	Barrier(ctx context.Context) error
	// IsHead reports whether this replica is the head by the view that is known here. A newer view may say otherwise.
	IsHead() bool
	// View returns the newest view that is known here.
	View() view.View
}

// partition is this store's replica of a partition, as the calls of the proxies and the runner see it.
type partition struct {
	number  uint32
	replica replica
	state   *state
	clock   *headClock
	// confirmation is of this replica having applied what is committed, and of leadership if it is the head.
	confirmation confirmation
	// readConfirmationAge is how old the confirmation may be for a read.
	readConfirmationAge time.Duration
	// running is how many items run here.
	running atomic.Int32
}

// redirect returns the head that a call has to be sent to, or nil if it is this store.
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

// propose has a command committed, stamped with this store's clock. An error of a kind other than NotReady leaves open whether
// the command is or will be committed. Success confirms leadership if this store is the head of the same view before and after.
func (p *partition) propose(ctx context.Context, command *batch.Command) (batch.Outcome, error) {
	return p.proposeBy(ctx, command, p.replica.Propose)
}

// proposeInTerm is propose for a command that builds on what this store has done as head since a term began. Once the term is over
// the error is of kind NotReady, and the command never gets committed.
func (p *partition) proposeInTerm(ctx context.Context, term uint64, command *batch.Command) (batch.Outcome, error) {
	return p.proposeBy(ctx, command, func(ctx context.Context, encoded []byte) ([]byte, error) {
		return p.replica.ProposeInTerm(ctx, term, encoded)
	})
}

// proposeBy encodes a command and has it committed by the given method of the replica.
func (p *partition) proposeBy(
	ctx context.Context, command *batch.Command, propose func(context.Context, []byte) ([]byte, error),
) (batch.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	requested := time.Now()
	command.Clock = p.clock.reading(requested)
	encoded, err := batch.EncodeCommand(command)
	if err != nil {
		return 0, fault.Wrap(fault.NotReady, err)
	}
	epoch := p.replica.View().Epoch
	result, err := propose(ctx, encoded)
	if err != nil {
		return 0, err
	}
	if p.replica.IsHead() && p.replica.View().Epoch == epoch {
		p.confirmation.record(requested)
	}
	return batch.DecodeOutcome(result), nil
}
