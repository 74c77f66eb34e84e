package consensus

import (
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// options configures a world. The zero value is the product's default configuration.
type options struct {
	replicas      int    // default 3
	snapshotEvery uint64 // entries; default 40
	unsafe        replica.Unsafe
}

// withoutSync switches syncs off. It also switches the identity check off, which would
// refuse all replicas once they have lost what they promised.
func withoutSync() replica.Unsafe {
	return replica.Unsafe{
		Log:  wal.Unsafe{NoSync: true},
		Raft: raft.Unsafe{NoIdentityCheck: true},
	}
}

func ignoringFailedSyncs() replica.Unsafe {
	return replica.Unsafe{
		Log:  wal.Unsafe{IgnoreFailedSync: true},
		Raft: raft.Unsafe{NoIdentityCheck: true},
	}
}

func withoutIdentityCheck() replica.Unsafe {
	return replica.Unsafe{Raft: raft.Unsafe{NoIdentityCheck: true}}
}

func withoutReadRounds() replica.Unsafe {
	return replica.Unsafe{Raft: raft.Unsafe{ReadsWithoutRound: true, NoCheckQuorum: true}}
}

func withoutPreVote() replica.Unsafe {
	return replica.Unsafe{Raft: raft.Unsafe{NoPreVote: true}}
}
