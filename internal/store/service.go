package store

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/chain"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const (
	// partitionDirectory begins the name of the directory of a partition.
	partitionDirectory = "partition-"
	// Parts of the bounds of the deployment that proofs may be old.
	sendProofParts = 3
	readProofParts = 3
	// Bounds where the deployment sets none.
	defaultCancellation   = 3 * time.Second
	defaultSettlement     = time.Second
	defaultStatusInterval = 120 * time.Second
	// paceInterval is the rhythm in which running items are read.
	paceInterval = 100 * time.Millisecond
	// checkpointInterval is how much of the making of a text may be lost with a head.
	checkpointInterval = 1500 * time.Millisecond
	// statusMargin is kept on top of the time for which closed jobs are kept.
	statusMargin = 5 * time.Second
	// Items that run at one time may take a part of the memory.
	itemMemory      = 128 << 10
	itemMemoryParts = 4
	mostRunning     = 1000
)

// Options set up the store role.
type Options struct {
	// Self names this store's replica, with the identity on its disk.
	Self            view.Member
	Transport       *peer.Transport
	Registry        *chain.Registry
	FileSystem      segment.FileSystem
	Directory       string
	MinimumReplicas int
	Bounds          settings.Bounds
	MemoryMB        int
	Admission       Admission
	Sender          Sender
	// Configuration gives the configuration, and whether it is proven to be current as closely as for live requests.
	Configuration func() (*configuration.Snapshot, bool)
	// ControlNodes gives the internal addresses of the control nodes that are alive, those of the own zone first.
	ControlNodes func() []netip.AddrPort
	// ReportInterval is how often the control nodes are told how far the partitions are here, besides all changes.
	ReportInterval time.Duration
	// OnFailure is called if a disk fails.
	OnFailure func(error)
	Log       *zap.Logger
}

// PoolAdmission admits items through the pools of their services.
type PoolAdmission func(service string) *admission.Pool

// Pick implements Admission.
func (p PoolAdmission) Pick(service string, now time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	pool := p(service)
	if pool == nil {
		return discovery.Backend{}, nil, &admission.Refusal{}
	}
	ticket, refusal := pool.Pick(now, r)
	if refusal != nil {
		return discovery.Backend{}, nil, refusal
	}
	return ticket.Backend, ticket, nil
}

// Service is the store role of a process.
type Service struct {
	options   Options
	execution *Execution
	readBound time.Duration

	ctx     context.Context
	cancel  context.CancelFunc
	changed chan struct{} // what is to be reported to the control nodes

	mutex      sync.Mutex
	partitions map[uint32]*served
	placed     map[uint32]*placement.Partition // the newest of each partition
	closed     bool
}

// New opens the partitions that the directory holds and sets the handlers on a transport that has not been started. If a
// log is damaged the replica is lost: its files and its identity are removed, and the next start makes a new one.
func New(options Options) (*Service, error) {
	s := &Service{
		options:    options,
		execution:  newExecution(&options),
		readBound:  boundOr(settings.Milliseconds(options.Bounds.SettlementMs), defaultSettlement) / readProofParts,
		partitions: map[uint32]*served{},
		placed:     map[uint32]*placement.Partition{},
		changed:    make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := options.FileSystem.MakeDirectory(options.Directory); err != nil {
		return nil, err
	}
	names, err := options.FileSystem.List(options.Directory)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := s.openDirectory(name); err != nil {
			s.Close()
			return nil, s.openFailed(err)
		}
	}
	s.register()
	return s, nil
}

func (s *Service) openFailed(err error) error {
	if !errors.Is(err, segment.ErrDamaged) {
		return err
	}
	return errors.Join(merry.Prepend(err, "the replica is lost, the next start makes a new one"), s.discardAll())
}

// boundOr gives a bound, or what is taken where the deployment sets none.
func boundOr(bound, otherwise time.Duration) time.Duration {
	if bound > 0 {
		return bound
	}
	return otherwise
}

func newExecution(o *Options) *Execution {
	cancellation := boundOr(settings.Milliseconds(o.Bounds.CancellationMs), defaultCancellation)
	status := boundOr(settings.Seconds(o.Bounds.StatusIntervalS), defaultStatusInterval)
	running := min(o.MemoryMB<<20/itemMemoryParts/itemMemory, mostRunning)
	return &Execution{
		Admission:          o.Admission,
		Sender:             o.Sender,
		Configuration:      known(o.Configuration),
		ProofBound:         cancellation / sendProofParts,
		LostBound:          cancellation,
		StatusInterval:     status + statusMargin,
		CheckpointInterval: checkpointInterval,
		Slots:              newSlots(max(running, 1)),
		Turns:              newTurns(),
		Pacer:              &pacer{interval: paceInterval},
		Log:                o.Log,
	}
}

// known takes a configuration that has not come yet for one that is not current.
func known(configured func() (*configuration.Snapshot, bool)) func() (*configuration.Snapshot, bool) {
	return func() (*configuration.Snapshot, bool) {
		snapshot, current := configured()
		return snapshot, current && snapshot != nil
	}
}

func (s *Service) openDirectory(name string) error {
	digits, ok := strings.CutPrefix(name, partitionDirectory)
	if !ok {
		return nil
	}
	number, err := strconv.ParseUint(digits, 10, 32)
	if err != nil {
		return nil
	}
	_, err = s.open(uint32(number))
	return err
}

// open restores the replica of a partition, or makes an empty one.
func (s *Service) open(number uint32) (*served, error) {
	opened := newServed(s, number)
	node, err := chain.Open(chain.Options{
		Chain:           number,
		Self:            s.options.Self,
		Registry:        s.options.Registry,
		FileSystem:      s.options.FileSystem,
		Directory:       s.directory(number),
		Machine:         opened.partition.state,
		MinimumReplicas: s.options.MinimumReplicas,
		OnFailure:       s.options.OnFailure,
		OnStall:         s.reportSoon,
		Log:             s.options.Log,
	})
	if err != nil {
		return nil, err
	}
	opened.start(node)
	s.partitions[number] = opened
	return opened, nil
}

// duty is what the placement asks of this store for a partition.
type duty uint8

const (
	noDuty duty = iota
	learnerDuty
	memberDuty
)

func (s *Service) dutyIn(p *placement.Partition) duty {
	self := s.options.Self.Replica
	switch {
	case p.View.Has(self):
		return memberDuty
	case slices.ContainsFunc(p.Learners, func(m view.Member) bool { return m.Replica == self }):
		return learnerDuty
	}
	return noDuty
}

// SetPlacement takes over a placement. Of views that are older than those known nothing is taken.
func (s *Service) SetPlacement(table *placement.Table) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	for i := range table.Partitions {
		placed := &table.Partitions[i]
		if known := s.placed[placed.View.Chain]; known != nil && known.View.Epoch > placed.View.Epoch {
			continue
		}
		s.placed[placed.View.Chain] = placed
		s.place(placed)
	}
}

// place opens, informs or discards the replica of a partition.
func (s *Service) place(p *placement.Partition) {
	asked := s.dutyIn(p)
	opened := s.partitions[p.View.Chain]
	if opened == nil && asked == noDuty {
		return
	}
	if opened == nil {
		var err error
		if opened, err = s.open(p.View.Chain); err != nil {
			s.options.Log.Error("open partition", zap.Uint32("partition", p.View.Chain), zap.Error(err))
			return
		}
	}
	opened.node.Install(p.View)
	opened.learn(asked == learnerDuty)
	if asked == noDuty && opened.node.View().Epoch >= p.View.Epoch {
		s.discard(opened)
	}
}

// review looks again at the placement of a partition, after another view came into force here.
func (s *Service) review(number uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if placed := s.placed[number]; placed != nil && !s.closed && s.partitions[number] != nil {
		s.place(placed)
	}
}

func (s *Service) directory(number uint32) string {
	return path.Join(s.options.Directory, fmt.Sprintf("%s%d", partitionDirectory, number))
}

// Close calls off all that runs and closes the partitions.
func (s *Service) Close() {
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for number, p := range s.partitions {
		delete(s.partitions, number)
		p.close()
	}
}

// find gives a partition that is kept here, or where it is.
func (s *Service) find(number uint32) (*partition, view.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p := s.partitions[number]; p != nil {
		return p.partition, view.View{}
	}
	if placed := s.placed[number]; placed != nil {
		return nil, placed.View
	}
	return nil, view.View{}
}

// membersOf gives the members of a partition, as the placement tells.
func (s *Service) membersOf(number uint32) []view.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if placed := s.placed[number]; placed != nil {
		return placed.View.Members
	}
	return nil
}

var errNoView = fault.New(fault.NotReady, "no view of the partition is known here")
