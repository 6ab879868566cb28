package control

import (
	"context"
	"time"

	"nickelline/internal/fault"
)

// Timeouts of the operator's calls.
const (
	// callTimeout bounds the retries of a call within this node. A caller tries another node after one second.
	callTimeout = 800 * time.Millisecond
	// callTimeoutPerMegabyte is added to callTimeout for each megabyte of the command.
	callTimeoutPerMegabyte = time.Second
	// retryInterval is the pause between two attempts.
	retryInterval = 40 * time.Millisecond
)

// chainReplica is the part of *chain.Node that the operator's calls use.
type chainReplica interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Barrier(ctx context.Context) error
}

// storeLister lists the stores of the system.
type storeLister interface {
	// Stores returns all known stores, the usable ones among them, which can be relied on to hold data, and whether the list of
	// known stores is complete, so that a store that is not in it does not exist.
	Stores() (known, usable []Store, complete bool)
}

// service implements the operator's calls, independently of HTTP. Its methods may be called concurrently.
type service struct {
	replica chainReplica
	machine *Machine
	stores  storeLister
	// minimumStores is how many stores must remain when one is retired.
	minimumStores int
	callTimeout   time.Duration
	retryInterval time.Duration
}

func newService(replica chainReplica, machine *Machine, stores storeLister, minimumStores int) *service {
	return &service{
		replica:       replica,
		machine:       machine,
		stores:        stores,
		minimumStores: minimumStores,
		callTimeout:   callTimeout,
		retryInterval: retryInterval,
	}
}

// Configure has a change of the configuration committed. If it returns no error, the change is acknowledged: it is on the
// disks of all members of the control chain, and Machine.configure has accepted it. After an error of kind fault.NotReady the
// change was not made, and after fault.Unclear it may have been; any other error is a final refusal.
func (s *service) Configure(ctx context.Context, request *Configure) (Result, error) {
	if s.machine.HasAccepted(request.Digest()) {
		return Result{Outcome: Repeated, Version: s.machine.State().Version()}, nil
	}
	if err := validateRequest(request); err != nil {
		return Result{}, err
	}
	current, err := s.stateFrom(ctx, request.Match)
	if err != nil {
		return Result{}, err
	}
	if err := validatePatch(current, request); err != nil {
		return Result{}, err
	}
	return s.propose(ctx, &Command{Configure: request})
}

// stateFrom returns a state whose configuration has at least a version if there is one: a node that is behind catches up first.
func (s *service) stateFrom(ctx context.Context, version uint64) (*State, error) {
	if state := s.machine.State(); state.Version() >= version {
		return state, nil
	}
	return s.Read(ctx)
}

// Read returns the state that was current at some moment after the call began.
func (s *service) Read(ctx context.Context) (*State, error) {
	err := s.retry(ctx, s.callTimeout, s.replica.Barrier)
	if err != nil {
		return nil, fault.New(fault.NotReady, "the state cannot be read here now: %v", err)
	}
	return s.machine.State(), nil
}

// Retire requests that the store with a name be emptied. fault.NotFound means that neither such a store nor a retirement of it
// exists.
func (s *service) Retire(ctx context.Context, name string, duration time.Duration) (Result, error) {
	known, usable, complete := s.stores.Stores()
	store, found := findStore(known, name)
	if found {
		return s.propose(ctx, &Command{Retire: &Retire{
			Store: store, Duration: duration, Stores: usable, Minimum: s.minimumStores,
		}})
	}
	if !complete {
		return Result{}, fault.New(fault.NotReady, "this node does not know all stores yet")
	}
	return s.acknowledgeRetirement(ctx, name)
}

// acknowledgeRetirement acknowledges the retirement of a store that is known only from an earlier request.
func (s *service) acknowledgeRetirement(ctx context.Context, name string) (Result, error) {
	if _, err := s.Retirement(ctx, name); err != nil {
		return Result{}, err
	}
	return Result{Outcome: Repeated}, nil
}

func findStore(stores []Store, name string) (Store, bool) {
	for _, store := range stores {
		if store.Name == name {
			return store, true
		}
	}
	return Store{}, false
}

// Retirement returns the retirement of a store, as it was at some moment after the call began.
func (s *service) Retirement(ctx context.Context, name string) (Retirement, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return Retirement{}, err
	}
	retirement, found := state.Retirement(name)
	if !found {
		return Retirement{}, fault.New(fault.NotFound, "no retirement of %q was asked for", name)
	}
	return retirement, nil
}
