package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of one block of prompt text.
const BlockBytes = 64

// Blocks returns the chained hashes of a prompt's complete blocks: equal hashes at an index mean
// equal text up to the end of that block. scope separates prompts that can't share a cache, such
// as those of a version with its adapter.
func Blocks(scope, prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	var link [8]byte
	last := xxhash.Sum64String(scope)
	d := xxhash.New()
	for len(prompt) >= BlockBytes {
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], last)
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[:BlockBytes])
		last = d.Sum64()
		blocks = append(blocks, last)
		prompt = prompt[BlockBytes:]
	}
	return blocks
}
