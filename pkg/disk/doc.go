// Package disk is the small part of a file system that the log and the
// snapshots need. OS works on real files. Mem keeps synced and unsynced
// content apart and injects faults: crashes that tear what was not synced,
// failed syncs, a full disk, flipped bytes and older images.
//
// Names are slash-separated paths. A file's content is durable after
// File.Sync, its name after SyncDir of its folder.
package disk
