package health

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Path is where the balancer asks.
const Path = "/healthz"

// Status is the body of the answer.
type Status struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"` // why not
}

// Register serves the check on a router.
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
