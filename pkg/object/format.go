package object

import (
	"fmt"
	"strings"
)

// Format writes a set as canonical INI text: objects ordered by kind and name, with
// every field that is not empty.
func Format(s Set) string {
	var b strings.Builder
	for i, it := range s.items() {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", it.ref)
		for _, f := range it.fields {
			if v := f.Get(); v != "" {
				fmt.Fprintf(&b, "%s = %s\n", f.Key, v)
			}
		}
	}
	return b.String()
}
