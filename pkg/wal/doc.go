// Package wal keeps one replica's consensus state in a folder: a segmented
// log of checksummed records, snapshots, and the identity of the store.
//
// # Files
//
//	LOCK                    held while a process uses the folder
//	identity.json           cluster, replica and store ID, incarnation, stores of others
//	<sequence>.log          segments; the first sequence is 1
//	<index>.snapshot        the state after an entry
//	*.tmp                   unfinished files, removed at the start
//
// A record is its payload's length, a CRC-32C, a type and the payload; the CRC
// covers the record's offset in the file as well. A
// segment begins with a header record and the hard state and marks in force,
// so that older segments can go once a snapshot covers their entries. The
// snapshot before the last one goes when its successor is on disk.
//
// # Durability
//
// Save returns after one sync for the whole batch. Names are synced with
// their folder before anything relies on them. When a sync or a write fails,
// the state of the file is unknown: the Log gives ErrFailed from then on, and
// the process must end. Nothing is retried.
//
// # What a start detects
//
// Found locally:
//   - an empty folder without leave to create: ErrNoStore;
//   - a folder of another cluster or replica: ErrWrongStore;
//   - a folder in use: disk.ErrLocked;
//   - damage before the last valid record of the log, a missing segment, and
//     a damaged identity or snapshot: *DamageError names file and offset.
//
// A bad record with no valid record behind it is a torn tail and is cut. That
// a synced record was damaged there, or that the folder is an older image, or
// that an empty folder replaces a lost one under the same replica ID, can't be
// seen in the folder. For these each start tells the other replicas its store
// ID, term and last index: see package raft, which refuses a replica that
// holds less than others saw it promise. The incarnation counts starts; only
// the first one on a folder may join without asking.
//
// Not detected: an older image, while every replica that saw the later promise
// is gone or has itself lost its marks; and an image so recent that it lacks
// only promises of the last heartbeat interval which nobody that is still
// there has seen.
package wal
