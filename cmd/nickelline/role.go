package main

import "context"

// roleNode is a node in one of the roles.
type roleNode interface {
	// run starts all services of the node but the serving of clients. They end with ctx or with end.
	run(ctx context.Context, caught *signals) error
	// serve returns when the process is asked to end, or cannot go on.
	serve(ctx context.Context, caught *signals) error
	// end hands over to others what they can go on with, and closes the node.
	end(ctx context.Context)
}

// runRole opens the node of a role, and serves until the process is asked to end.
func runRole[N roleNode](caught *signals, open func(*process) (N, error)) error {
	p, err := newProcess()
	if err != nil {
		return err
	}
	n, err := open(p)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := n.run(ctx, caught); err != nil {
		return err
	}
	err = n.serve(ctx, caught)
	n.end(ctx)
	return err
}
