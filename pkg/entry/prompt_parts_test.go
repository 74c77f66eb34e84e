package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestPromptPartsAreReadButTheLast(t *testing.T) {
	var many []string
	for i := range 40 {
		many = append(many, fmt.Sprintf("%x:1", i))
	}
	for _, c := range []struct {
		name   string
		values []string
		want   []string
	}{
		{"none", nil, nil},
		{"only the last", []string{"ab:10"}, nil},
		{"two before the last", []string{"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}, []string{"5c1e07a2", "91bd3f06"}},
		{"in two headers, with blanks", []string{" ab:1 , CD:2", "ef:3"}, []string{"ab", "cd"}},
		{"twice", []string{"ab:1,ab:2,cd:3"}, []string{"ab"}},
		{"malformed", []string{"ab,:3,xy:4,cd:-1,cd:,ab:1:2,ef:5,ab:1"}, []string{"ef"}},
		{"last is malformed", []string{"ab:1,"}, []string{"ab"}},
		{"too many", []string{strings.Join(many, ",")}, strings.Fields("0 1 2 3 4 5 6 7 8 9 a b c d e f")},
	} {
		var want []view.Fingerprint
		for _, id := range c.want {
			want = append(want, suspect.PartFingerprint(id))
		}
		if got := readPromptParts(c.values); !slices.Equal(got, want) {
			t.Errorf("%s: %d parts, want %v", c.name, len(got), c.want)
		}
	}
}
