package main

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"nickelline/internal/segment"
)

// roleNode is a node with one of the roles.
type roleNode interface {
	// startServices starts all services of the node except serving clients. They stop when ctx ends or with shutDown.
	startServices(ctx context.Context, caught *signals) error
	// serve returns when the process is asked to terminate, or with an error when it cannot continue.
	serve(ctx context.Context, caught *signals) error
	// shutDown hands over this node's work to other nodes where they can continue it, and closes the node.
	shutDown(ctx context.Context)
}

// runRole opens the node of a role, serves until the process is asked to terminate, and shuts the node down.
func runRole[N roleNode](caught *signals, open func(*process, *diskWait) (N, error)) error {
	p, err := newProcess()
	if err != nil {
		return err
	}
	p.endInTime()
	wait := &diskWait{log: p.log, caught: caught}
	n, err := openRole(p, wait, open)
	if wait.terminated {
		p.log.Info("process was asked to terminate while it waited for its disk", zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := n.startServices(ctx, caught); err != nil {
		return err
	}
	err = n.serve(ctx, caught)
	n.shutDown(ctx)
	return err
}

// openRole opens the node of a role. If files of its replica are damaged, it is opened again: as a new replica once the damaged one has
// been discarded, which the role does itself unless its identity is damaged.
func openRole[N roleNode](p *process, wait *diskWait, open func(*process, *diskWait) (N, error)) (N, error) {
	for {
		n, err := open(p, wait)
		if !errors.Is(err, segment.ErrDamaged) || !wait.again(err) {
			return n, err
		}
	}
}
