package gate

import (
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Events receives the gate's events for the time line.
type Events interface {
	ViewInstalled(r view.Revision)
	LeaseChanged(valid bool, r view.Revision)
	OrderDelivered(o order.Order, err error)
	Announced(h view.Host)
}
