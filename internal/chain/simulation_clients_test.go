package chain

import "time"

// operation is a read of a client, or a write by compare-and-set of the version.
type operation struct {
	id       uint64
	at       *site // where it began
	read     bool
	expected uint64 // version that a write expects
	value    uint64 // that a write sets

	begin, end time.Duration
	done       bool   // with a known outcome
	dropped    bool   // certainly without effect
	ok         bool   // a write found the expected version
	version    uint64 // after the operation
	result     uint64 // value after the operation
	// position is the sequence at which the operation takes effect in the order of commits.
	position uint64
}

// inFlight counts the operations whose clients are still waiting.
func (s *simulation) inFlight() int {
	count := 0
	for _, o := range s.operations {
		if !o.done && !o.dropped && s.network.Now()-o.begin < operationTimeout {
			count++
		}
	}
	return count
}

func (s *simulation) planOperations() {
	for range s.operationGroups {
		at := s.network.Now() + time.Duration(s.random.Int64N(int64(s.duration)))
		s.network.At(at, func() {
			if s.random.IntN(3) == 0 {
				s.read()
				return
			}
			for range 1 + s.random.IntN(3) {
				if s.inFlight() < maximumInFlight {
					s.propose()
				}
			}
		})
	}
}

func (s *simulation) begin(o *operation) *operation {
	s.lastID++
	o.id = s.lastID
	o.begin = s.network.Now()
	s.operations = append(s.operations, o)
	return o
}

func (s *simulation) finish(o *operation) {
	if !o.done && !o.dropped {
		o.done = true
		o.end = s.network.Now()
	}
}

// propose has a client write at a random site.
func (s *simulation) propose() { s.proposeAt(s.sites[s.random.IntN(len(s.sites))]) }

// proposeAt has a client write at a site, which forwards the command to the head that it knows.
func (s *simulation) proposeAt(site *site) {
	o := s.begin(&operation{at: site, value: s.lastID + 1000, expected: s.guessVersion()})
	s.tryPropose(o, site, 20)
}

func (s *simulation) guessVersion() uint64 {
	version := uint64(0)
	for _, site := range s.sites {
		version = max(version, site.machine.version)
	}
	if s.random.IntN(5) == 0 && version > 0 {
		version--
	}
	return version
}

func (s *simulation) tryPropose(o *operation, at *site, tries int) {
	again := func() {
		s.network.At(s.network.Now()+200*time.Millisecond, func() { s.tryPropose(o, s.sites[s.random.IntN(len(s.sites))], tries-1) })
	}
	if tries == 0 {
		o.dropped = true
		s.refused[o.id] = true
		return
	}
	if !s.network.Up(at.address) || s.network.Frozen(at.address) {
		again()
		return
	}
	head, ok := at.replica.View().Head()
	if !ok {
		again()
		return
	}
	command := commandOf(o)
	reply := func(result writeResult) {
		s.network.Send(head.Address, at.address, func() {
			if result.refused {
				again()
				return
			}
			o.ok, o.version, o.result = result.ok, result.version, result.value
			s.finish(o)
		})
	}
	if head.Replica == at.self.Replica {
		at.propose(command, reply)
		return
	}
	s.network.Send(at.address, head.Address, func() { s.siteAt(head.Address).propose(command, reply) })
}

// read has a client read at a random site.
func (s *simulation) read() { s.readAt(s.sites[s.random.IntN(len(s.sites))]) }

// readAt has a client read at a site after a barrier.
func (s *simulation) readAt(at *site) {
	if !s.network.Up(at.address) {
		return
	}
	head, ok := at.replica.View().Head()
	if !ok {
		return
	}
	o := s.begin(&operation{at: at, read: true})
	reply := func(sequence uint64) {
		s.network.Send(head.Address, at.address, func() {
			at.whenApplied(sequence, func() {
				o.version, o.result = at.machine.version, at.machine.value
				s.finish(o)
			})
		})
	}
	if head.Replica == at.self.Replica {
		at.barrier(reply)
		return
	}
	s.network.Send(at.address, head.Address, func() { s.siteAt(head.Address).barrier(reply) })
}
