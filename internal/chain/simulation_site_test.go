package chain

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/netip"
	"path"
	"time"

	"nickelline/internal/segment"
	"nickelline/internal/simnet"
	"nickelline/internal/view"
)

const (
	siteDirectory = "/data"
	planPeriod    = 100 * time.Millisecond
)

// site is a machine of a simulation: a disk, and the replica that runs on it.
type site struct {
	simulation             *simulation
	index                  int
	address                netip.AddrPort
	diskDelay              time.Duration
	leaving                bool
	lastAnsweredNotLeaving time.Duration                    // when this replica last answered a proposer that it is not leaving
	unreachableSince       map[netip.AddrPort]time.Duration // when other sites became unreachable from this one, by address

	disk *simnet.Disk
	// What is known to be durable on the disk.
	durable      map[uint64]uint64 // epochs of entries, by sequence
	durableBase  uint64            // entries up to this sequence are in a snapshot
	highestEpoch uint64            // highest epoch that this replica was in

	// State of the running process.
	fileSystem         segment.FileSystem
	self               view.Member
	replica            *Replica
	acceptor           *view.Acceptor
	seeds              []netip.AddrPort
	log                *segment.Log
	writing            []DiskOperation
	frontApplied       bool // the log has taken the first operation that is being written, and needs a sync
	writeAt            time.Duration
	machine            *register
	position           Position
	applied            uint64
	bytesSinceSnapshot int
	proposals          map[uint64]func(writeResult)
	accepted           map[uint64]acceptedProposal
	barriers           map[uint64]func(sequence uint64)
	waits              []appliedWait
	proposer           *view.Proposer
	tickAt             time.Duration
}

func newSite(s *simulation, index int, address netip.AddrPort) *site {
	return &site{
		simulation:       s,
		index:            index,
		address:          address,
		diskDelay:        time.Millisecond,
		disk:             simnet.NewDisk(rand.New(rand.NewPCG(s.seed, uint64(index+100)))),
		durable:          make(map[uint64]uint64),
		unreachableSince: make(map[netip.AddrPort]time.Duration),
		machine:          &register{},
		acceptor:         view.NewAcceptor(view.AcceptorState{}),
	}
}

func (s *site) String() string {
	if s.replica == nil {
		return fmt.Sprintf("site %d: not started", s.index)
	}
	return fmt.Sprintf("site %d: up %v %+v source %v upstream %+v successor %+v learners %v", s.index,
		s.simulation.network.Up(s.address), s.replica.Status(), s.replica.source, s.replica.upstream, s.replica.successor, len(s.replica.learners))
}

func (s *site) check(err error) {
	if err != nil {
		s.simulation.fatalf("site %d: %v", s.index, err)
	}
}

// start starts the replica from what is on the disk. While the disk fails, it tries again.
func (s *site) start(firstStart bool) {
	err := s.tryStart(firstStart)
	if err == nil {
		s.simulation.network.Start(s.address)
		s.step(func(time.Duration) {})
		s.plan()
		return
	}
	s.checkDiskFailure(err)
	s.simulation.network.At(s.simulation.network.Now()+diskRetryPause, func() {
		if !s.simulation.network.Up(s.address) {
			s.start(firstStart)
		}
	})
}

// checkDiskFailure checks that an error is that of a failing disk, which must not end the replica.
func (s *site) checkDiskFailure(err error) {
	if !errors.Is(err, simnet.ErrFailed) || !segment.IsTransient(err) {
		s.check(err)
	}
}

func (s *site) tryStart(firstStart bool) error {
	s.fileSystem = s.disk.Mount()
	if err := s.identify(); err != nil {
		return err
	}
	record, err := loadRecord(Options{FileSystem: s.fileSystem, Directory: siteDirectory})
	if err != nil {
		return err
	}
	log, recovered, err := segment.Open(s.fileSystem, path.Join(siteDirectory, LogDirectory), segment.Options{SegmentSize: 500})
	if err != nil {
		return err
	}
	s.log = log
	s.restore(record, recovered)
	return s.openAcceptor(firstStart)
}

func (s *site) identify() error {
	name := path.Join(siteDirectory, "replica")
	_, err := segment.LoadRecord(s.fileSystem, name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err != nil {
		if err := s.fileSystem.MakeDirectory(siteDirectory); err != nil {
			return err
		}
		identity := s.simulation.random.Uint64() | 1
		if err := segment.SaveRecord(s.fileSystem, name, binary.LittleEndian.AppendUint64(nil, identity)); err != nil {
			return err
		}
	}
	replica, created, err := view.LoadIdentity(s.fileSystem, siteDirectory)
	if err != nil {
		return err
	}
	if created {
		s.simulation.fatalf("identity: got a new one, want the stored one")
	}
	s.self = view.Member{Replica: replica, Name: fmt.Sprint(s.index), Zone: fmt.Sprint(s.index % 3), Address: s.address}
	return nil
}

func (s *site) restore(record Record, recovered segment.Recovered) {
	state := Recovered{Record: record, Entries: recovered.Entries}
	s.machine = &register{}
	s.durable = make(map[uint64]uint64)
	if recovered.Snapshot != nil {
		state.Snapshot = *recovered.Snapshot
		s.check(s.machine.Restore(recovered.Snapshot.Data))
	}
	for _, entry := range recovered.Entries {
		s.durable[entry.Sequence] = entry.Epoch
	}
	s.durableBase = state.Snapshot.Sequence
	s.position = Position{Epoch: state.Snapshot.Epoch, Sequence: state.Snapshot.Sequence}
	s.applied = s.position.Sequence
	s.bytesSinceSnapshot = 0
	s.writing = nil
	s.frontApplied = false
	s.writeAt = 0
	s.proposals = make(map[uint64]func(writeResult))
	s.accepted = make(map[uint64]acceptedProposal)
	s.barriers = make(map[uint64]func(uint64))
	s.waits = nil
	s.proposer = nil
	s.tickAt = 0
	s.replica = NewReplica(0, s.self, s.simulation.policy.MinimumMembers, state)
	s.replica.limits = s.simulation.limits
}

func (s *site) openAcceptor(firstStart bool) error {
	data, err := segment.LoadRecord(s.fileSystem, path.Join(siteDirectory, acceptorName))
	if errors.Is(err, fs.ErrNotExist) {
		s.acceptor = view.NewAcceptor(view.AcceptorState{})
		s.seeds = nil
		if firstStart {
			s.seeds = s.simulation.seeds
		}
		return s.writeAcceptor()
	}
	if err != nil {
		return err
	}
	state, seeds, err := view.DecodeAcceptorState(data)
	s.check(err)
	s.acceptor = view.NewAcceptor(state)
	s.seeds = seeds
	return nil
}

// saveAcceptor writes the acceptor's state, and reports whether the disk has taken it. If not, the state is the one before again.
func (s *site) saveAcceptor(before view.AcceptorState) bool {
	err := s.writeAcceptor()
	if err == nil {
		return true
	}
	s.checkDiskFailure(err)
	s.acceptor = view.NewAcceptor(before)
	return false
}

func (s *site) writeAcceptor() error {
	data, err := view.EncodeAcceptorState(s.acceptor.State(), s.seeds)
	s.check(err)
	return segment.SaveRecord(s.fileSystem, path.Join(siteDirectory, acceptorName), data)
}

// stop ends the process of the replica, with or without a loss of power. A random part of the pending disk operations is
// written before, as far as the disk takes them.
func (s *site) stop(powerLoss bool) {
	s.simulation.network.Stop(s.address)
	if s.log == nil {
		return
	}
	for i, operation := range s.writing {
		if s.simulation.random.IntN(3) == 0 {
			break
		}
		if i == 0 && s.frontApplied {
			continue
		}
		if err := s.writeOne(operation); err != nil {
			s.checkDiskFailure(err)
			break
		}
	}
	if powerLoss {
		s.disk.LosePower()
	} else {
		s.disk.Kill()
	}
}

func (s *site) wipe() {
	s.disk.Wipe()
	s.self.Replica = 0
	s.highestEpoch = 0
	s.durable = make(map[uint64]uint64)
	s.durableBase = 0
}

// step passes an event to the replica and carries out its output.
func (s *site) step(event func(now time.Duration)) {
	now := s.simulation.network.Now()
	event(now)
	out := s.replica.Output()
	for _, violation := range out.Violations {
		s.simulation.logf("site %d: %s", s.index, violation.Description)
	}
	for _, message := range out.Messages {
		s.send(message)
	}
	s.resolve(out)
	s.write(out.Disk)
	for _, v := range out.Views {
		s.enter(v)
	}
	for _, operation := range out.Apply {
		s.apply(operation)
	}
	if out.SnapshotRequested {
		s.after(time.Millisecond, func() {
			s.step(func(now time.Duration) { s.replica.SnapshotTaken(now, s.snapshot()) })
		})
	}
	s.compact()
	s.setTimer()
}

func (s *site) after(wait time.Duration, f func()) { s.simulation.network.After(s.address, wait, f) }

func (s *site) send(message Outgoing) {
	body, err := encodeEnvelope(message.Envelope)
	s.check(err)
	to := s.simulation.siteAt(message.To)
	deliver := func() {
		envelope, err := decodeEnvelope(body)
		s.check(err)
		to.step(func(now time.Duration) { to.replica.Receive(now, s.address, envelope) })
	}
	s.simulation.network.Send(s.address, message.To, deliver)
	if s.simulation.occurs(s.simulation.duplication) {
		s.simulation.network.SendToAddress(s.address, message.To, deliver)
	}
}

func (s *site) setTimer() {
	deadline, ok := s.replica.Deadline()
	if !ok || s.tickAt == deadline {
		return
	}
	s.tickAt = deadline
	s.after(max(deadline-s.simulation.network.Now(), 0), func() {
		if s.tickAt == deadline {
			s.tickAt = 0
			s.step(func(now time.Duration) { s.replica.Tick(now) })
		}
	})
}

// enter checks that the epoch of a replica never decreases.
func (s *site) enter(v view.View) {
	if v.Epoch < s.highestEpoch {
		s.simulation.fatalf("site %d went back from epoch %d to %d", s.index, s.highestEpoch, v.Epoch)
	}
	s.highestEpoch = v.Epoch
	s.simulation.checkView(s, v)
}

func (s *site) apply(operation ApplyOperation) {
	if operation.Restore != nil {
		s.check(s.machine.Restore(operation.Restore.Data))
		s.advance(Position{Epoch: operation.Restore.Epoch, Sequence: operation.Restore.Sequence})
		s.bytesSinceSnapshot = 0
		return
	}
	for _, entry := range operation.Entries {
		if entry.Sequence != s.position.Sequence+1 {
			s.simulation.fatalf("site %d applies entry %d after entry %d", s.index, entry.Sequence, s.position.Sequence)
		}
		s.simulation.checkCommitted(s, entry.Epoch, entry.Sequence, entry.Data)
		result := s.machine.Apply(entry.Sequence, entry.Data)
		s.bytesSinceSnapshot += len(entry.Data)
		s.advance(Position{Epoch: entry.Epoch, Sequence: entry.Sequence})
		if call, ok := s.accepted[entry.Sequence]; ok {
			delete(s.accepted, entry.Sequence)
			s.simulation.checkDisks(Position{Epoch: entry.Epoch, Sequence: entry.Sequence})
			call.reply(writeResult{
				ok:      result[0] == 1,
				version: binary.LittleEndian.Uint64(result[1:]),
				value:   binary.LittleEndian.Uint64(result[9:]),
			})
		}
	}
}

func (s *site) advance(position Position) {
	s.position = position
	s.applied = position.Sequence
	waits := s.waits
	s.waits = nil
	for _, wait := range waits {
		s.whenApplied(wait.sequence, wait.do)
	}
}
