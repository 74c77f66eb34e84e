package membership

import "github.com/sesamemux/sesamemux/pkg/view"

// Session is one run of a gate process. A restarted gate has a new session under
// the same name.
type Session struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}
