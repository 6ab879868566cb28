package chain

import (
	"encoding/binary"

	"nickelline/internal/view"
)

// checkView checks that a view that comes into force at a site is the only one of its epoch.
func (s *simulation) checkView(at *site, v view.View) {
	known, before := s.views[v.Epoch]
	if before && !known.Equal(v) {
		s.fatalf("two views of epoch %d: %v and %v", v.Epoch, known, v)
	}
	s.views[v.Epoch] = v
	if v.Epoch > s.newest.Epoch {
		s.newest = v
	}
	var members []int
	for _, member := range v.Members {
		members = append(members, int(member.Address.Addr().As4()[3])-1)
	}
	s.logf("site %d in view %d: %v", at.index, v.Epoch, members)
}

// checkCommitted checks an entry that a site applies: all sites apply the same entry at a sequence, a command is
// committed at one sequence only, and no refused command is committed.
func (s *simulation) checkCommitted(at *site, entryEpoch, sequence uint64, data []byte) {
	entry := committedEntry{epoch: entryEpoch, id: binary.LittleEndian.Uint64(data), data: string(data)}
	if known, before := s.committed[sequence]; before && known != entry {
		s.fatalf("site %d applied %+v at sequence %d, another site %+v", at.index, entry, sequence, known)
	}
	if first, before := s.sequences[entry.id]; before && first != sequence {
		s.fatalf("command %d is committed at sequence %d and at sequence %d", entry.id, first, sequence)
	}
	s.sequences[entry.id] = sequence
	s.committed[sequence] = entry
	s.highest = max(s.highest, sequence)
	if s.refused[entry.id] {
		s.fatalf("command %d was refused, but committed", entry.id)
	}
}

// committedEntry is an entry as the first replica applied it.
type committedEntry struct {
	epoch, id uint64
	data      string
}
