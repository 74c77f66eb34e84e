package engine

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// handleOrder answers 200 with the status after the order, or 409.
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

// ApplyOrder carries out an order.
func (e *Engine) ApplyOrder(o order.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.options.IgnoreFence {
		if o.Incarnation != 0 && o.Incarnation != e.options.Incarnation {
			return errIncarnation
		}
		if o.Fence < e.fence {
			return errOldFence
		}
		e.fence = o.Fence
	}
	switch {
	case o.Kind == order.KindRelease:
		e.release()
	case e.role.same(o):
		e.role.allowed = o.LoadAllowed
		e.role.peers = slices.Clone(o.Peers)
		e.role.adapters = slices.Clone(o.Adapters)
	default:
		e.take(o)
	}
	notify(e.changed)
	e.log.Info("order carried out", "kind", o.Kind, "group", o.Group, "fence", o.Fence, "rank", o.Rank, "load_allowed", o.LoadAllowed)
	return nil
}

// release gives up the role and its memory. e.mu is held.
func (e *Engine) release() {
	e.cutAll(errNotHead)
	e.role = role{phase: report.PhaseIdle}
	e.loaded = ""
	e.stalledBy = ""
}

// take begins a new role. Weights of the same version stay in memory.
func (e *Engine) take(o order.Order) {
	e.cutAll(errNotHead)
	e.role = roleOf(o)
	e.stalledBy = ""
	if e.loaded == o.Version {
		e.role.left = 0
	} else {
		e.loaded = ""
	}
}
