package once

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// uuidLength is the length of a UUID in its text form with hyphens.
const uuidLength = 36

// KeyTime returns the time that a key carries. Only a UUID of version 7 in its text form carries
// one; any other key is opaque. The result depends on the key alone and therefore never changes.
func KeyTime(key string) (view.Time, bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return 0, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != 16 {
		return 0, false
	}
	if b[6]>>4 != 7 || b[8]>>6 != 2 {
		return 0, false
	}
	var ms int64
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	if ms > maxKeyMilliseconds {
		return 0, false
	}
	return view.Time(ms * int64(time.Millisecond)), true
}

// maxKeyMilliseconds keeps a key's time within the range of view.Time.
const maxKeyMilliseconds = int64(1<<62) / int64(time.Millisecond)
