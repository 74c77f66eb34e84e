package matrix

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/prove/consensus"
	"github.com/sesamemux/sesamemux/pkg/prove/control"
	"github.com/sesamemux/sesamemux/pkg/prove/gates"
	"github.com/sesamemux/sesamemux/pkg/prove/groups"
	"github.com/sesamemux/sesamemux/pkg/prove/objects"
	"github.com/sesamemux/sesamemux/pkg/prove/once"
)

// Rows returns the rows of all areas, by promise.
func Rows() []prove.Row {
	rows := slices.Concat(
		consensus.Rows(),
		control.Rows(),
		gates.Rows(),
		groups.Rows(),
		objects.Rows(),
		once.Rows(),
	)
	slices.SortStableFunc(rows, func(a, b prove.Row) int { return int(a.Promise - b.Promise) })
	return rows
}
