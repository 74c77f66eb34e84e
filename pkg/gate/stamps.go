package gate

import (
	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// observeStamps puts what a gate records of a handed-over request after what
// the gate recorded that handed it over.
func observeStamps(r *timeline.Recorder) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			h, err := timeline.ParseHLC(c.Request().Header.Get(timeline.Header))
			if err == nil {
				r.Observe(h)
			}
			return next(c)
		}
	}
}
