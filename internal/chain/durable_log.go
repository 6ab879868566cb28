package chain

import (
	"time"

	"nickelline/internal/segment"
)

// pendingOperation is a disk operation that is not done yet.
type pendingOperation struct {
	id     uint64
	synced uint64 // sequence up to which the log is on disk once the operation is done, 0 if it adds nothing to the log
	record *Record
}

// write queues a disk operation. Once it is done the log is on disk up to synced, which is 0 if the operation adds
// nothing to the log.
func (r *Replica) write(operation DiskOperation, synced uint64) {
	r.lastDiskID++
	operation.ID = r.lastDiskID
	r.out.Disk = append(r.out.Disk, operation)
	r.pendingDisk = append(r.pendingDisk, pendingOperation{id: operation.ID, synced: synced, record: operation.Record})
}

// DiskDone is called by the driver once a disk operation, and with it all before it, is durable.
func (r *Replica) DiskDone(now time.Duration, id uint64) {
	for len(r.pendingDisk) > 0 && r.pendingDisk[0].id <= id {
		operation := r.pendingDisk[0]
		r.pendingDisk = r.pendingDisk[1:]
		r.synced = max(r.synced, operation.synced)
		if operation.record != nil {
			r.recordWritten(now, operation.record)
		}
	}
	r.advance(now)
}

// append adds entries to the end of the log.
func (r *Replica) append(entries []segment.Entry) {
	if len(entries) == 0 {
		return
	}
	r.history.append(entries)
	r.write(DiskOperation{Append: entries}, r.history.last().Sequence)
}

// truncate drops the entries after a sequence. Pending appends of dropped entries no longer count as synced once they
// are done. Links on which dropped entries may have been sent begin new sessions.
func (r *Replica) truncate(now time.Duration, sequence uint64) {
	if sequence >= r.history.last().Sequence {
		return
	}
	r.history.truncate(sequence)
	r.synced = min(r.synced, sequence)
	for i := range r.pendingDisk {
		r.pendingDisk[i].synced = min(r.pendingDisk[i].synced, sequence)
	}
	r.write(DiskOperation{Truncate: &sequence}, 0)
	r.rewindLinks(now, sequence)
}

// reset replaces the log and the applied state with a snapshot.
func (r *Replica) reset(now time.Duration, snapshot segment.Snapshot) {
	for i := range r.pendingDisk {
		r.pendingDisk[i].synced = 0
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
