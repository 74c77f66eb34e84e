package health

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Path is the HTTP path of the health check.
const Path = "/healthz"

// Status is the response body of the health check.
type Status struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // set if the gate is not ready
}

// Register adds the health check to a router.
func Register(e *echo.Echo, status func() Status) {
	e.GET(Path, func(c echo.Context) error {
		s := status()
		code := http.StatusOK
		if !s.Ready {
			code = http.StatusServiceUnavailable
		}
		return c.JSON(code, s)
	})
}
