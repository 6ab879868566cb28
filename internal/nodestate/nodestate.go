// Package nodestate holds a process's copy of the shared state of the system: the configuration, the list of backends
// and the placement of batch partitions. It also holds the admission pools of the services, and keeps them up to date.
//
// The configuration, the list and the placement are immutable snapshots. Each is replaced as a whole when gossip brings
// a newer version. A version that cannot be decoded is logged and ignored.
package nodestate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/gossip"
	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// Source delivers new versions of the shared state; *gossip.Service implements it.
type Source interface {
	Subscribe(topic gossip.Topic, notify func(gossip.Value))
	// ProofAge returns the age of the latest proof that no version newer than the given one existed.
	ProofAge(topic gossip.Topic, version gossip.Version) time.Duration
}

// Options set up a State.
type Options struct {
	// Node and Zone identify this node to the admission pools.
	Node, Zone string
	Seed       uint64
	Source     Source
	// OnPool, if set, is called with each new admission pool, with the lock of the pools held: it must not call Pool or
	// Pools.
	OnPool func(service string, pool *admission.Pool)
	Log    *zap.Logger
}

// State holds the newest known version of each kind of shared state. Its methods are safe for concurrent use.
type State struct {
	options       Options
	configuration atomic.Pointer[configuration.Current]
	backends      atomic.Pointer[discovery.List]
	placement     atomic.Pointer[placement.Table]
	unreadable    atomic.Uint64

	mu    sync.Mutex // guards pools
	pools map[string]*admission.Pool

	notifyMu    sync.Mutex // guards the functions below, runs them one at a time and keeps versions in order
	onBackends  []func(*discovery.List)
	onPlacement []func(*placement.Table)
}

// New returns a State that is subscribed to its source.
func New(options Options) *State {
	s := &State{options: options, pools: map[string]*admission.Pool{}}
	options.Source.Subscribe(gossip.Configuration, s.applyConfiguration)
	options.Source.Subscribe(gossip.Backends, s.applyBackends)
	options.Source.Subscribe(gossip.Placement, s.applyPlacement)
	return s
}

// Configuration returns the newest configuration, nil before the first. Its proof is that of the version it was made from: a
// newer version that has arrived but is not compiled yet does not count.
func (s *State) Configuration() *configuration.Current { return s.configuration.Load() }

// Backends returns the newest list of backends, nil before the first.
func (s *State) Backends() *discovery.List { return s.backends.Load() }

// Placement returns the newest placement, nil before the first.
func (s *State) Placement() *placement.Table { return s.placement.Load() }

// OnBackends registers a function that is called with each new list of backends, after the pools have been updated. If
// a list is known, the function is called with it at once. Calls are made one at a time. The function must not call
// OnBackends or OnPlacement.
func (s *State) OnBackends(notify func(*discovery.List)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.onBackends = append(s.onBackends, notify)
	if list := s.backends.Load(); list != nil {
		notify(list)
	}
}

// OnPlacement registers a function that is called with each new placement. If a placement is known, the function is
// called with it at once. Calls are made one at a time. The function must not call OnBackends or OnPlacement.
func (s *State) OnPlacement(notify func(*placement.Table)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.onPlacement = append(s.onPlacement, notify)
	if table := s.placement.Load(); table != nil {
		notify(table)
	}
}

// Partition returns the newest known view of the partition that holds a tenant's batch jobs, and false if none is
// known.
func (s *State) Partition(tenant string) (view.View, bool) {
	table := s.placement.Load()
	if table == nil {
		return view.View{}, false
	}
	partition := table.PartitionOf(tenant)
	if partition < 0 {
		return view.View{}, false
	}
	return table.Partitions[partition].View, true
}

// Pool returns the admission pool of a service, and creates it at the first call.
func (s *State) Pool(service string) *admission.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[service]
	if pool == nil {
		pool = admission.NewPool(service, s.options.Node, s.options.Zone, s.options.Seed)
		s.pools[service] = pool
		s.updatePool(service, pool)
		if s.options.OnPool != nil {
			s.options.OnPool(service, pool)
		}
	}
	return pool
}

// Pools returns the admission pools that Pool has created, by service. The caller may change the map.
func (s *State) Pools() map[string]*admission.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.pools)
}

func (s *State) applyConfiguration(v gossip.Value) {
	_, snapshot, err := configuration.Read(v.Data)
	if err != nil {
		s.logInvalid("configuration", v, err)
		return
	}
	s.configuration.Store(&configuration.Current{
		Snapshot: snapshot,
		ProofAge: func() time.Duration { return s.options.Source.ProofAge(v.Topic, v.Version) },
	})
	s.updatePools()
}

func (s *State) applyBackends(v gossip.Value) {
	list, err := discovery.Decode(v.Data)
	if err != nil {
		s.logInvalid("list of backends", v, err)
		return
	}
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.backends.Store(list)
	s.updatePools()
	for _, notify := range s.onBackends {
		notify(list)
	}
}

func (s *State) applyPlacement(v gossip.Value) {
	table, err := placement.Decode(v.Data)
	if err != nil {
		s.logInvalid("placement", v, err)
		return
	}
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.placement.Store(&table)
	for _, notify := range s.onPlacement {
		notify(&table)
	}
}

// UnreadableVersions returns how many versions were ignored because they could not be decoded. This process then goes on with an
// older version, and can no longer prove that it is current.
func (s *State) UnreadableVersions() uint64 { return s.unreadable.Load() }

// logInvalid counts and logs a version that is ignored because it cannot be decoded.
func (s *State) logInvalid(what string, v gossip.Value, err error) {
	s.unreadable.Add(1)
	s.options.Log.Error("decode version failed", zap.String("of", what), zap.Uint64("sequence", v.Version.Sequence),
		zap.Error(err))
}

// updatePools updates all pools to the current list of backends and configuration.
func (s *State) updatePools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, pool := range s.pools {
		s.updatePool(service, pool)
	}
}

// updatePool sets the backends of a pool to those of its service, with the number of slots from the configuration.
func (s *State) updatePool(service string, pool *admission.Pool) {
	list := s.backends.Load()
	if list == nil {
		return
	}
	slots := 0
	if current := s.configuration.Load(); current != nil {
		if known := current.ServiceByName(service); known != nil && known.Engine != nil {
			slots = known.Engine.CapacitySlots
		}
	}
	pool.SetBackends(list.ByService(service), slots)
}
