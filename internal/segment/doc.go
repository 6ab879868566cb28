// Package segment keeps the state of a replica on disk: a write-ahead log in segments, snapshots that replace the beginning of
// the log, and small records that are replaced as a whole. All of them carry checksums.
//
// # Guarantees
//
// After a crash or a loss of power the log holds, in the order of Append, every entry that was covered by a Sync that
// succeeded, and possibly some that were appended after it. Open truncates a tail that was never synced and is torn. Damage
// to what had been synced is reported as ErrDamaged, together with what could be read before it.
//
// A record written by SaveRecord holds either the former or the new contents, and the new ones once SaveRecord has returned.
//
// # Duties of the caller
//
// Append and TruncateAfter only buffer: whatever depends on an entry being durable, such as an acknowledgement, has to wait
// for a Sync. A log that returned an error matching ErrClosed has to be opened again before it can be used, because it is not
// known what the disk holds. The data of an entry must not be changed after Append. A replica whose directory is damaged has
// lost what it acknowledged: it has to remove the files (Clear, RemoveFiles) and take a new identity. One Log at a time may be
// open on a directory.
//
// # Layout of the directory
//
//	GENERATION-INDEX.segment          frames, each with a CRC-32C; new ones go to the segment with the highest index
//	GENERATION-INDEX-FIRST.snapshot   a state; FIRST is the index of the first segment with entries after it
//	*.temporary                       a file that is being written
//
// Reset begins a generation; its snapshot is the first file of it, and files of older generations no longer count. The two
// newest snapshots are retained with the segments that follow the older one, so that one damaged snapshot loses nothing.
//
// # Files in reading order
//
//   - filesystem.go: what the log needs of a file system, and that of the machine
//   - record.go: records that are replaced as a whole
//   - frame.go, names.go: the formats of frames and of file names
//   - log.go, options.go, errors.go: the log and its operations
//   - write_buffer.go, files.go, writer.go: from appended entries to files on the disk
//   - snapshot_file.go, snapshot.go: snapshots, and the removal of what they replace
//   - open.go, recovery.go, resume.go: reading a log back and preparing it for further entries
//   - remove.go: removing the files of a replica
package segment
