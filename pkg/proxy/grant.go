package proxy

import (
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// grant tells a waiting call where it goes, or why it goes nowhere.
type grant struct {
	refusal *refusal
	permit  *permit.Permit
	place   place
	peer    *view.Gate
}
