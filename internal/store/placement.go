package store

import (
	"slices"
	"time"

	"nickelline/internal/placement"
	"nickelline/internal/view"
)

// role is the role that the placement assigns to this store for a partition.
type role uint8

const (
	noRole role = iota
	learnerRole
	memberRole
)

func (s *Service) roleIn(p *placement.Partition) role {
	self := s.options.Self.Replica
	isSelf := func(m view.Member) bool { return m.Replica == self }
	switch {
	case p.View.Has(self):
		return memberRole
	case slices.ContainsFunc(p.Learners, isSelf):
		return learnerRole
	}
	return noRole
}

// SetPlacement applies a placement. It skips partitions whose view is older than the newest known one.
func (s *Service) SetPlacement(table *placement.Table) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	for i := range table.Partitions {
		placed := &table.Partitions[i]
		if known := s.placements[placed.View.Chain]; known != nil && known.View.Epoch > placed.View.Epoch {
			continue
		}
		s.placements[placed.View.Chain] = placed
		s.apply(placed)
	}
}

// apply opens the replica of a partition if it is placed here, and installs the view in it. It discards a replica that is no longer
// placed here only once the replica has installed that view: earlier views may still need it. The caller holds the mutex.
func (s *Service) apply(p *placement.Partition) {
	wanted := s.roleIn(p)
	hosted := s.partitions[p.View.Chain]
	if hosted == nil && wanted == noRole {
		return
	}
	if hosted == nil {
		var err error
		if hosted, err = s.open(p.View.Chain); err != nil {
			s.unopened.observe(time.Now(), s.options.Log)
			return
		}
	}
	hosted.node.Install(p.View)
	hosted.setLearner(wanted == learnerRole)
	if wanted == noRole && hosted.node.View().Epoch >= p.View.Epoch {
		s.discard(hosted)
	}
}

// reapplyPlacement applies the placement of a partition again, after its replica has installed a view that does not include it.
func (s *Service) reapplyPlacement(number uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if placed := s.placements[number]; placed != nil && !s.closed && s.partitions[number] != nil {
		s.apply(placed)
	}
}

// membersOf returns the members of a partition according to the placement, or nil if its placement is not known.
func (s *Service) membersOf(number uint32) []view.Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if placed := s.placements[number]; placed != nil {
		return placed.View.Members
	}
	return nil
}
