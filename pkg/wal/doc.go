// Package wal stores one replica's consensus state in a directory: a segmented write-ahead log of
// checksummed records, snapshots, and the identity of the store.
//
// # Files
//
//	LOCK                    locked while a process uses the directory
//	identity.json           cluster, replica and store ID, incarnation, store IDs of other replicas
//	<sequence>.log          segments; the first sequence number is 1
//	<index>.snapshot        the state after the entry at that index
//	*.tmp                   incomplete files, removed on open
//
// A record consists of the payload's length, a CRC-32C, a type and the payload. The CRC also covers
// the record's offset in the file. A segment begins with a header record and the current hard state
// and marks, so that older segments can be removed once a snapshot covers their entries. A snapshot
// is removed once the next one is on disk.
//
// # Durability
//
// Save returns after one sync of the whole batch. A file name is made durable by a sync of its
// directory before anything relies on it. When a write or sync fails, the content of the file is
// unknown: every later call on the Log returns ErrFailed, and the process must exit. Nothing is
// retried.
//
// # Detection of lost or corrupt data
//
// Open detects:
//   - an empty directory that it may not initialise: ErrNoStore;
//   - a directory of another cluster or replica: ErrWrongStore;
//   - a directory in use: disk.ErrLocked;
//   - corruption before the last valid record of the log, a missing segment, and a corrupt identity
//     or snapshot: *CorruptionError, with file and offset.
//
// An invalid record that no valid record follows is a torn tail and is truncated. The directory
// alone does not show whether a synced record was corrupted there, whether the directory is an
// older image, or whether an empty directory replaces a lost one under the same replica ID. For
// these cases a starting replica tells the other replicas its store ID, term and last index;
// package raft refuses a replica that holds less than others have seen it promise. The incarnation
// counts starts. Only on its first start on a directory may a replica join without asking.
//
// Two cases are not detected: an older image if every replica that saw the later promise is gone or
// has lost its own marks; and an image so recent that it lacks only promises of the last heartbeat
// interval that no remaining replica has seen.
package wal
