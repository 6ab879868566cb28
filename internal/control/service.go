package control

import (
	"context"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/pause"
)

// Times of the operator's calls.
const (
	// callTime is how long a call is tried within this node: a caller goes on to another one after a second.
	callTimeout = 800 * time.Millisecond
	// callTimePerMegabyte is added for large orders.
	callTimeoutPerMegabyte = time.Second
	// retryPause lies between two tries.
	retryInterval = 40 * time.Millisecond
)

// Replica is the control chain as the operator's calls use it: a *chain.Node.
type Replica interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Barrier(ctx context.Context) error
}

// Stores tells which stores there are.
type Stores interface {
	// Stores gives all stores that are known, those of them that can be counted on to hold data, and whether a store that
	// is not known does not exist.
	Stores() (known, remaining []Store, whole bool)
}

// service carries out the operator's calls, whatever protocol they come by.
type service struct {
	replica Replica
	machine *Machine
	stores  Stores
	// minimumStores is how many stores must remain when one is retired.
	minimumStores int
	callTimeout   time.Duration
	retryInterval time.Duration
}

func newService(replica Replica, machine *Machine, stores Stores, minimumStores int) *service {
	return &service{
		replica:       replica,
		machine:       machine,
		stores:        stores,
		minimumStores: minimumStores,
		callTimeout:   callTimeout,
		retryInterval: retryInterval,
	}
}

// Configure has an order taken. An error of kind fault.NotReady or fault.Unclear leaves open what became of it; any
// other is a refusal that is never taken back.
func (s *service) Configure(ctx context.Context, request *Configure) (Result, error) {
	if s.machine.HasAccepted(request.Digest()) {
		return Result{Outcome: Repeated, Version: s.machine.State().Version()}, nil
	}
	if err := validateRequest(request); err != nil {
		return Result{}, err
	}
	return s.propose(ctx, &Command{Configure: request})
}

// checkAlone refuses an order that is invalid whatever the current configuration is.
func validateRequest(request *Configure) error {
	version, err := validateBody(request)
	if err != nil {
		return err
	}
	if version <= request.Match {
		return fault.New(fault.InvalidConfiguration, "version %d is not above %d, on which it builds", version, request.Match)
	}
	return nil
}

func validateBody(request *Configure) (version uint64, err error) {
	if request.Patch {
		patch, err := configuration.ParsePatch(request.Body)
		if err != nil {
			return 0, err
		}
		return patch.Version(), nil
	}
	document, err := configuration.Parse(request.Body)
	if err != nil {
		return 0, err
	}
	return document.Version(), configuration.Check(document)
}

// Read gives the state that was current at some moment after the call began.
func (s *service) Read(ctx context.Context) (*State, error) {
	err := s.retry(ctx, s.callTimeout, s.replica.Barrier)
	if err != nil {
		return nil, fault.New(fault.NotReady, "the state cannot be read here now: %v", err)
	}
	return s.machine.State(), nil
}

// Retire asks that the store on a machine be emptied.
func (s *service) Retire(ctx context.Context, name string, duration time.Duration) (Result, error) {
	known, remaining, complete := s.stores.Stores()
	store, found := findStore(known, name)
	if found {
		return s.propose(ctx, &Command{Retire: &Retire{
			Store: store, Duration: duration, Stores: remaining, Minimum: s.minimumStores,
		}})
	}
	if !complete {
		return Result{}, fault.New(fault.NotReady, "this node does not know all stores yet")
	}
	return s.acknowledgeRetirement(ctx, name)
}

// retireAgain acknowledges the retirement of a store that is known from an earlier order only.
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

// Retirement tells how far the retirement of a store is.
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

// propose has a command applied and gives its result. It tries again also where the fate of a try is not known: every
// command of the operator may be applied twice.
func (s *service) propose(ctx context.Context, command *Command) (Result, error) {
	encoded, err := EncodeCommand(command)
	if err != nil {
		return Result{}, err
	}
	var result Result
	unclear := false
	err = s.retry(ctx, s.callTimeout+sizeTimeout(len(encoded)), func(ctx context.Context) error {
		reply, err := s.replica.Propose(ctx, encoded)
		if err != nil {
			unclear = unclear || fault.KindOf(err) != fault.NotReady
			return err
		}
		result, err = DecodeResult(reply)
		unclear = unclear || err != nil
		return err
	})
	switch {
	case err == nil:
		return result, result.Err()
	case unclear:
		return Result{}, fault.New(fault.Unclear, "the order may have been taken: %v", err)
	}
	return Result{}, fault.New(fault.NotReady, "the order was not taken: %v", err)
}

// sizeAllowance is the time that an order is given for its size.
func sizeTimeout(size int) time.Duration {
	const megabyte = 1 << 20
	return callTimeoutPerMegabyte * time.Duration(size) / megabyte
}

// retry calls an operation until it succeeds or the time is over, and gives its last error.
func (s *service) retry(ctx context.Context, limit time.Duration, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := operation(ctx)
		if err == nil || !pause.For(ctx, s.retryInterval) {
			return err
		}
	}
}
