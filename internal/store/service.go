package store

import (
	"context"
	"errors"
	"fmt"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/placement"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const (
	// partitionDirectoryPrefix is the prefix of the name of a partition's directory; the number of the partition follows.
	partitionDirectoryPrefix = "partition-"
	// To serve reads, the age of the confirmation must be below the settlement bound divided by readConfirmationDivisor. The
	// settlement bound is the time within which reads must show what has been committed.
	readConfirmationDivisor = 3
	// defaultSettlement is the settlement bound if the settings have none.
	defaultSettlement = time.Second
)

// Service is the store role of a process: it hosts partitions according to the placement, and handles the calls of the proxies for
// them.
//
// Goroutines: those of the hosted partitions (see hostedPartition), and that of Run, which the caller starts. Close stops those of
// the partitions and waits for the runners.
type Service struct {
	options             Options
	runnerConfig        *runnerConfig
	readConfirmationAge time.Duration

	ctx     context.Context // of the goroutines of partitions; ended by Close
	cancel  context.CancelFunc
	changed chan struct{} // holds one element if there are changes to report to the control nodes

	mutex      sync.Mutex
	partitions map[uint32]*hostedPartition
	placements map[uint32]*placement.Partition // the newest placement of each partition
	unopened   unopenedPartitions
	unremoved  map[uint32]bool // partitions that are no longer placed here and whose log could not be removed
	monitor    *replicationMonitor
	closed     bool
}

// New opens the partitions in the directory, and registers the handlers with the transport, which must not have been started. Those that
// cannot be opened, because the disk fails, are opened later by Run. If the log of a partition is damaged, the store has lost the data of
// that partition, and gets it again from the other stores. If the record beside the log is damaged too, nothing is known of what the
// store has acknowledged: its identity and all of its files are removed, the error wraps segment.ErrDamaged, and the next start
// creates a new replica.
func New(options Options) (*Service, error) {
	settlement := durationOr(settings.Milliseconds(options.Bounds.SettlementMs), defaultSettlement)
	s := &Service{
		options:             options,
		runnerConfig:        newRunnerConfig(&options),
		readConfirmationAge: settlement / readConfirmationDivisor,
		partitions:          map[uint32]*hostedPartition{},
		placements:          map[uint32]*placement.Partition{},
		unopened:            unopenedPartitions{failures: map[uint32]error{}},
		unremoved:           map[uint32]bool{},
		monitor:             newReplicationMonitor(options.Log),
		changed:             make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.unopened.directory = errNotListed
	if err := s.openFound(); err != nil {
		s.Close()
		return nil, s.openFailed(err)
	}
	s.registerHandlers()
	return s, nil
}

// openFailed returns the error with which New fails. If the record of a partition is damaged, openFailed discards the replica.
func (s *Service) openFailed(err error) error {
	if !errors.Is(err, segment.ErrDamaged) {
		return err
	}
	return errors.Join(merry.Prepend(err, "replica files are damaged, the next start creates a new replica"),
		chain.DiscardReplica(s.options.FileSystem, s.options.Directory))
}

// partitionOfDirectory returns the number of the partition whose directory has the given name. It returns false if the name is not
// that of a partition's directory.
func partitionOfDirectory(name string) (uint32, bool) {
	digits, ok := strings.CutPrefix(name, partitionDirectoryPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 32)
	return uint32(number), err == nil
}

func (s *Service) directoryOf(number uint32) string {
	return path.Join(s.options.Directory, fmt.Sprintf("%s%d", partitionDirectoryPrefix, number))
}

func (s *Service) logOf(number uint32) string {
	return path.Join(s.directoryOf(number), chain.LogDirectory)
}

// open opens the replica of a partition, which is empty if there is none on the disk, and starts it. If it cannot be opened, that is
// recorded. The caller holds the mutex.
func (s *Service) open(number uint32) (*hostedPartition, error) {
	hosted, err := s.tryOpen(number)
	if err != nil {
		err = fmt.Errorf("open partition %d: %w", number, err)
		s.unopened.failures[number] = err
		return nil, err
	}
	delete(s.unopened.failures, number)
	delete(s.unremoved, number)
	s.partitions[number] = hosted
	return hosted, nil
}

func (s *Service) tryOpen(number uint32) (*hostedPartition, error) {
	if err := finishRemoval(s.options.FileSystem, s.logOf(number)); err != nil {
		return nil, err
	}
	hosted, err := s.openReplica(number)
	if !errors.Is(err, segment.ErrDamaged) {
		return hosted, err
	}
	s.options.Log.Error("log of a partition is damaged and is lost", zap.Uint32("partition", number), zap.Error(err))
	if err := chain.LoseLog(s.options.FileSystem, s.directoryOf(number)); err != nil {
		return nil, err
	}
	return s.openReplica(number)
}

func (s *Service) openReplica(number uint32) (*hostedPartition, error) {
	hosted := newHostedPartition(s, number)
	node, err := chain.Open(chain.Options{
		Chain:           number,
		Self:            s.options.Self,
		Dispatcher:      s.options.Dispatcher,
		FileSystem:      s.options.FileSystem,
		Directory:       s.directoryOf(number),
		StateMachine:    hosted.partition.state,
		MinimumReplicas: s.options.MinimumReplicas,
		OnFailure:       s.options.OnFailure,
		OnStall:         s.requestReport,
		Log:             s.options.Log,
	})
	if err != nil {
		return nil, err
	}
	hosted.start(node)
	return hosted, nil
}

// find returns a partition that is hosted here, or nil and the view of a partition that is hosted elsewhere, if it is known.
func (s *Service) find(number uint32) (*partition, view.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if hosted := s.partitions[number]; hosted != nil {
		return hosted.partition, view.View{}
	}
	if placed := s.placements[number]; placed != nil {
		return nil, placed.View
	}
	return nil, view.View{}
}

// Close stops the partitions, waits for their runners, and closes the replicas.
func (s *Service) Close() {
	s.cancel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for number, hosted := range s.partitions {
		delete(s.partitions, number)
		hosted.close()
	}
}
