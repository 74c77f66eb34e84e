// Package disk provides the file system operations that the log and the snapshots need. OS uses
// the operating system's files. Mem is an in-memory file system that distinguishes synced from
// unsynced content and injects faults: crashes with torn writes of unsynced content, failed syncs,
// a full disk, flipped bits and older images.
//
// Names are slash-separated paths. A file's content is durable after File.Sync, its name after
// SyncDir of its directory.
package disk
