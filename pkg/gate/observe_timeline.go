package gate

import (
	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// observeTimeline returns a middleware that observes the timeline stamp of a request, so that
// the events recorded here are ordered after those of the gate that handed it over.
func observeTimeline(r *timeline.Recorder) echo.MiddlewareFunc {
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
