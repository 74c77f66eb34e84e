package engine

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// handleOrder carries out an order and answers 200 with the resulting status, or
// 409 if the order is rejected.
func (e *Engine) handleOrder(c echo.Context) error {
	var o order.Order
	if err := c.Bind(&o); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := e.ApplyOrder(o); err != nil {
		return c.String(http.StatusConflict, err.Error())
	}
	return c.JSON(http.StatusOK, e.Report(0).Status)
}

// ApplyOrder carries out an order, unless its incarnation or fencing number is not
// current.
func (e *Engine) ApplyOrder(o order.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.options.IgnoreFence {
		if o.Incarnation != 0 && o.Incarnation != e.options.Incarnation {
			return errIncarnation
		}
		if o.Fence < e.fence {
			return errStaleFence
		}
		e.fence = o.Fence
	}
	switch {
	case o.Kind == order.KindRelease:
		e.release()
	case e.role.matches(o):
		e.role.loadAllowed = o.LoadAllowed
		e.role.peers = slices.Clone(o.Peers)
		e.role.adapters = slices.Clone(o.Adapters)
	default:
		e.assumeRole(o)
	}
	notify(e.roleChanged)
	e.log.Info("order carried out", "kind", o.Kind, "group", o.Group, "fence", o.Fence, "rank", o.Rank, "load_allowed", o.LoadAllowed)
	return nil
}

// release drops the role and the loaded weights. The caller holds e.mu.
func (e *Engine) release() {
	e.abortAll(errNotHead)
	e.role = role{phase: report.PhaseIdle}
	e.loaded = ""
	e.stalledBy = ""
}

// assumeRole starts a new role. Weights of the same version stay in memory. The
// caller holds e.mu.
func (e *Engine) assumeRole(o order.Order) {
	e.abortAll(errNotHead)
	e.role = newRole(o)
	e.stalledBy = ""
	if e.loaded == o.Version {
		e.role.bytesLeft = 0
	} else {
		e.loaded = ""
	}
}
