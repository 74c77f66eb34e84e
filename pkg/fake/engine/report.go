package engine

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

func (e *Engine) handleReport(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	return c.JSON(http.StatusOK, e.Report(after))
}

// Report returns what the member runs, its load, and the cache events after a
// sequence number.
func (e *Engine) Report(after uint64) report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return report.Report{
		Host:   e.options.Name,
		Status: e.role.status(e.options.Incarnation),
		Load:   e.model.Load(),
		Events: e.model.CacheEvents(after),
	}
}
