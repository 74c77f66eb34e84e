package gate

import (
	"crypto/tls"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrHostMismatch says that an upstream announced another host than the one that
// its certificate names.
var ErrHostMismatch = eris.New("certificate is not of the announced host")

// announcements takes upstreams' announcements.
type announcements struct {
	self     view.GateName
	registry *registry
	events   Events
	logger   *log.Logger
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
	if err := announcer(c.Request().TLS, in.Host.Name); err != nil {
		a.logger.Warn("announcement refused", "remote", c.RealIP(), "err", err)
		return echo.NewHTTPError(http.StatusForbidden, err.Error())
	}
	if !a.registry.announced(in) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "this gate holds as many hosts as it can; announce to another")
	}
	a.events.Announced(in.Host)
	return c.JSON(http.StatusOK, announce.Reply{Gate: a.self})
}

// announcer tells whether the other end of a connection under TLS is the host
// that it speaks for.
func announcer(state *tls.ConnectionState, host view.HostName) error {
	if state == nil {
		return nil
	}
	id, err := access.PeerOf(*state)
	if err != nil {
		return err
	}
	if id.Role != access.Upstream || id.Name != string(host) {
		return eris.Wrapf(ErrHostMismatch, "%s speaks for %s", id, host)
	}
	return nil
}
