// Package segment keeps the state of a replica on disk: a write-ahead log in segments, snapshots that replace the beginning of
// the log, and small records that are replaced as a whole. All of them carry checksums.
//
// # Guarantees
//
// After a crash or a loss of power the log holds, in the order of Append, every entry that a successful Sync covered, and
// possibly some that were appended after that Sync. Open truncates a torn tail that was never synced. Damage to synced data is
// reported as ErrDamaged, together with the contents that could be read before the damage.
//
// A record written by SaveRecord holds either the old or the new contents, and the new ones once SaveRecord has returned.
//
// # Requirements on the caller
//
// Append and TruncateAfter only buffer: whatever depends on an entry being durable, such as an acknowledgement, has to wait
// for a Sync. The data of an entry must not be changed after Append. A replica whose directory is damaged has lost data that it
// acknowledged: it has to remove the files (Clear, RemoveFiles) and take a new identity. Only one Log at a time may be open on a
// directory.
//
// # Disks that fail
//
// No failure of a disk closes a log, whatever its error: the caller may try the operation again (IsTransient), and should, until it
// succeeds. Until then it is unknown what the disk holds after the last successful Sync:
//
//	failure                          state of the log                          the next attempt
//	write, sync of a segment         the frames since the last Sync are        cuts the segment back to its synced part, and
//	                                 pending again, in memory                  writes and syncs the frames again
//	new segment, sync of its folder  unchanged                                 tries again
//	snapshot                         unchanged; it may not be truncated to     writes another one; the failed one is removed now
//	                                 before the snapshot, which may be there   or later
//	reset: rename, sync of folder    ErrUnfinishedReset for all else           begins again; until then Open finds either state
//	record                           holds the old or the new contents         writes it again
//	removal of obsolete files        unchanged                                 the next snapshot or Open removes them
//	read during Open                 no log                                    opens again
//
// A sync that fails is not tried again by itself: the system may count data as written that it has lost. Neither reading the data nor a
// further sync proves anything then, so they are written again. As a process may be killed before it has done so, Open writes
// those frames again that no later frame counts as synced. The names in a folder are taken to be durable once a sync of the folder
// succeeds, also after one that failed: file systems either write them with the next sync or take no more changes.
//
// All that takes no more space than the frames themselves, and cutting back frees some: nothing has to be kept in reserve.
//
// # Layout of the directory
//
//	GENERATION-INDEX.segment          frames, each with a CRC-32C; new ones go to the segment with the highest index
//	GENERATION-INDEX-FIRST.snapshot   a snapshot; FIRST is the index of the first segment with entries after it
//	*.temporary                       a file that is being written
//
// Reset begins a new generation, whose first file is the snapshot; files of older generations are obsolete. The two newest
// snapshots are retained with the segments that follow the older one, so that no entry is lost if one snapshot is damaged.
//
// # Files in reading order
//
//   - filesystem.go: the file system interface, and its implementation by the operating system
//   - record.go: records that are replaced as a whole
//   - frame.go, names.go: the formats of frames and of file names
//   - log.go, options.go, errors.go: the log and its operations
//   - write_buffer.go, files.go, writer.go, rewrite.go: writing and syncing appended entries, and doing so again after a failure
//   - snapshot_file.go, snapshot.go: snapshots, and the removal of the segments that they replace
//   - open.go, recovery.go, unproven.go, resume.go: reading a log back and preparing it for further entries
//   - remove.go: removing the files of a replica
package segment
