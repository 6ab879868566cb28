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
// A write that the disk refuses (IsRefusal), because it is full or fails to write, leaves the log open and as it was: the caller may try
// the operation again. After a failed sync, or if a refused write cannot be undone, it is unknown what is on the disk, and the
// log closes itself.
//
// Append and TruncateAfter only buffer: whatever depends on an entry being durable, such as an acknowledgement, has to wait
// for a Sync. A log that returned an error matching ErrClosed has to be opened again before it can be used, because the
// contents of the disk are unknown. The data of an entry must not be changed after Append. A replica whose directory is damaged
// has lost data that it acknowledged: it has to remove the files (Clear, RemoveFiles) and take a new identity. Only one Log at
// a time may be open on a directory.
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
//   - write_buffer.go, files.go, writer.go: writing and syncing appended entries
//   - snapshot_file.go, snapshot.go: snapshots, and the removal of the segments that they replace
//   - open.go, recovery.go, resume.go: reading a log back and preparing it for further entries
//   - remove.go: removing the files of a replica
package segment
