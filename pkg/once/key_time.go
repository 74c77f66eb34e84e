package once

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// uuidLength is the length of a UUID in its text form with hyphens.
const uuidLength = 36

// KeyTime returns the time that a key carries in itself, which only a UUID of
// version 7 in its text form does. Any other key is opaque. The verdict
// depends on the key alone, so that it never changes.
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
	if ms > maxKeyMillis {
		return 0, false
	}
	return view.Time(ms * int64(time.Millisecond)), true
}

// maxKeyMillis keeps a key's time within what view.Time can hold.
const maxKeyMillis = int64(1<<62) / int64(time.Millisecond)
