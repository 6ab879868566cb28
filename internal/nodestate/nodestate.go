// Package nodestate holds what a process knows of the shared state of the system: the configuration, the list of
// backends, the placement of batch partitions, and the admission pools of the services.
//
// Each is an immutable snapshot that is swapped whole when gossip brings a newer version. A version that cannot be read
// is logged and ignored.
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

// Source is where versions come from: a *gossip.Service.
type Source interface {
	Subscribe(topic gossip.Topic, notify func(gossip.Value))
	ProofAge(topic gossip.Topic) time.Duration
}

// Options set up a State.
type Options struct {
	// Node and Zone say to admission whose pools these are.
	Node, Zone string
	Seed       uint64
	Source     Source
	// OnPool, if set, is called with each new admission pool.
	OnPool func(service string, pool *admission.Pool)
	Log    *zap.Logger
}

// State is what a process knows. Its methods are safe for concurrent use.
type State struct {
	options       Options
	configuration atomic.Pointer[configuration.Snapshot]
	backends      atomic.Pointer[discovery.List]
	placement     atomic.Pointer[placement.Table]

	mu    sync.Mutex // of the pools
	pools map[string]*admission.Pool

	notifications sync.Mutex // of the functions below, which run one at a time, and of the order of versions
	onBackends    []func(*discovery.List)
	onPlacement   []func(*placement.Table)
}

// New makes the state and subscribes it to its source.
func New(options Options) *State {
	s := &State{options: options, pools: map[string]*admission.Pool{}}
	options.Source.Subscribe(gossip.Configuration, s.takeConfiguration)
	options.Source.Subscribe(gossip.Backends, s.takeBackends)
	options.Source.Subscribe(gossip.Placement, s.takePlacement)
	return s
}

// Configuration returns the newest configuration, nil before the first.
func (s *State) Configuration() *configuration.Snapshot { return s.configuration.Load() }

// Backends returns the newest list of backends, nil before the first.
func (s *State) Backends() *discovery.List { return s.backends.Load() }

// Placement returns the newest placement, nil before the first.
func (s *State) Placement() *placement.Table { return s.placement.Load() }

// ConfigurationAge returns the age of the latest proof that the configuration was the newest.
func (s *State) ConfigurationAge() time.Duration {
	return s.options.Source.ProofAge(gossip.Configuration)
}

// OnBackends adds a function that is called with each new list of backends, after the pools have it, and at once with the
// one that there is, one call at a time. It must not call OnBackends or OnPlacement.
func (s *State) OnBackends(notify func(*discovery.List)) {
	s.notifications.Lock()
	defer s.notifications.Unlock()
	s.onBackends = append(s.onBackends, notify)
	if list := s.backends.Load(); list != nil {
		notify(list)
	}
}

// OnPlacement adds a function that is called with each new placement, and at once with the one that there is, one call at a
// time. It must not call OnBackends or OnPlacement.
func (s *State) OnPlacement(notify func(*placement.Table)) {
	s.notifications.Lock()
	defer s.notifications.Unlock()
	s.onPlacement = append(s.onPlacement, notify)
	if table := s.placement.Load(); table != nil {
		notify(table)
	}
}

// Partition returns the newest known view of the partition that a tenant's batch jobs are in.
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

// Pool returns the admission pool of a service.
func (s *State) Pool(service string) *admission.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[service]
	if pool == nil {
		pool = admission.NewPool(service, s.options.Node, s.options.Zone, s.options.Seed)
		s.pools[service] = pool
		s.fill(service, pool)
		if s.options.OnPool != nil {
			s.options.OnPool(service, pool)
		}
	}
	return pool
}

// Pools returns the admission pools of all services that have been asked for.
func (s *State) Pools() map[string]*admission.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.pools)
}

func (s *State) takeConfiguration(v gossip.Value) {
	document, err := configuration.Parse(v.Data)
	if err != nil {
		s.logInvalid("configuration", v, err)
		return
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		s.logInvalid("configuration", v, err)
		return
	}
	s.configuration.Store(snapshot)
	s.fillAll()
}

func (s *State) takeBackends(v gossip.Value) {
	list, err := discovery.Decode(v.Data)
	if err != nil {
		s.logInvalid("list of backends", v, err)
		return
	}
	s.notifications.Lock()
	defer s.notifications.Unlock()
	s.backends.Store(list)
	s.fillAll()
	for _, notify := range s.onBackends {
		notify(list)
	}
}

func (s *State) takePlacement(v gossip.Value) {
	table, err := placement.Decode(v.Data)
	if err != nil {
		s.logInvalid("placement", v, err)
		return
	}
	s.notifications.Lock()
	defer s.notifications.Unlock()
	s.placement.Store(&table)
	for _, notify := range s.onPlacement {
		notify(&table)
	}
}

// logInvalid logs a version that cannot be decoded, and so is ignored.
func (s *State) logInvalid(what string, v gossip.Value, err error) {
	s.options.Log.Error("decode version failed", zap.String("of", what), zap.Uint64("sequence", v.Version.Sequence),
		zap.Error(err))
}

// fillAll brings all pools up to date with the list of backends and the configuration.
func (s *State) fillAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, pool := range s.pools {
		s.fill(service, pool)
	}
}

// fill sets the backends of a pool to those of its service.
func (s *State) fill(service string, pool *admission.Pool) {
	list := s.backends.Load()
	if list == nil {
		return
	}
	slots := 0
	if snapshot := s.configuration.Load(); snapshot != nil {
		if known := snapshot.ServiceByName(service); known != nil && known.Engine != nil {
			slots = known.Engine.CapacitySlots
		}
	}
	pool.SetBackends(list.ByService(service), slots)
}
