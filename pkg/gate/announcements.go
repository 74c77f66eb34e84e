package gate

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// announcements takes upstreams' announcements.
type announcements struct {
	self     view.GateName
	registry *registry
	events   Events
}

// register puts the handler on the upstreams' port.
func (a *announcements) register(e *echo.Echo) {
	e.POST(announce.Path, a.handle)
}

func (a *announcements) handle(c echo.Context) error {
	var in announce.Announcement
	if err := c.Bind(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement can't be read: "+err.Error())
	}
	if err := in.Validate(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !a.registry.announced(in) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "this gate holds as many hosts as it can; announce to another")
	}
	a.events.Announced(in.Host)
	return c.JSON(http.StatusOK, announce.Reply{Gate: a.self})
}
