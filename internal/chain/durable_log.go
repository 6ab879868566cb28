package chain

import (
	"time"

	"nickelline/internal/segment"
)

// pendingDisk is a disk operation that is not done yet.
type pendingDisk struct {
	id     uint64
	synced uint64 // sequence on disk once it is done, 0 if it appends nothing
	record *Record
}

// write queues a disk operation. Once it is done the log is on disk up to synced; 0 if the operation appends nothing.
func (r *Replica) write(operation DiskOperation, synced uint64) {
	r.lastDisk++
	operation.ID = r.lastDisk
	r.out.Disk = append(r.out.Disk, operation)
	r.disk = append(r.disk, pendingDisk{id: operation.ID, synced: synced, record: operation.Record})
}

// DiskDone handles that a disk operation, and all those before it, are on disk.
func (r *Replica) DiskDone(now time.Duration, id uint64) {
	for len(r.disk) > 0 && r.disk[0].id <= id {
		operation := r.disk[0]
		r.disk = r.disk[1:]
		r.synced = max(r.synced, operation.synced)
		if operation.record != nil {
			r.recordWritten(now, operation.record)
		}
	}
	r.followUp(now)
}

// append adds entries to the end of the log.
func (r *Replica) append(entries []segment.Entry) {
	if len(entries) == 0 {
		return
	}
	r.history.append(entries)
	r.write(DiskOperation{Append: entries}, r.history.last().Sequence)
}

// truncate drops the entries after a sequence, and forgets that the disk may yet sync them. Links by which they may
// have been sent begin new sessions.
func (r *Replica) truncate(now time.Duration, sequence uint64) {
	if sequence >= r.history.last().Sequence {
		return
	}
	r.history.truncate(sequence)
	r.synced = min(r.synced, sequence)
	for i := range r.disk {
		r.disk[i].synced = min(r.disk[i].synced, sequence)
	}
	r.write(DiskOperation{Truncate: &sequence}, 0)
	r.rewindLinks(now, sequence)
}

// reset replaces the log and the applied state by a snapshot.
func (r *Replica) reset(now time.Duration, snapshot segment.Snapshot) {
	for i := range r.disk {
		r.disk[i].synced = 0
	}
	r.history = newHistory(Position{Epoch: snapshot.Epoch, Sequence: snapshot.Sequence}, nil)
	r.synced = 0
	r.committed = snapshot.Sequence
	r.write(DiskOperation{Reset: &snapshot}, snapshot.Sequence)
	r.out.Apply = append(r.out.Apply, ApplyOperation{Restore: &snapshot})
	clear(r.learners)
	r.successor = nil
	r.connectSuccessor(now)
}
