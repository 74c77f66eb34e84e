package proxy

import (
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// grant assigns a waiting call to a destination or to a peer gate, or refuses it.
type grant struct {
	refusal *refusal
	permit  *permit.Permit
	dest    destination
	peer    *view.Gate
}
