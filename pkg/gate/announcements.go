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

// ErrHostMismatch reports that an upstream announced a host other than the one named in its
// certificate.
var ErrHostMismatch = eris.New("certificate was not issued to the announced host")

// announcements handles upstreams' announcements.
type announcements struct {
	self     view.GateName
	registry *registry
	events   Events
	logger   *log.Logger
}

// register adds the handler to the router of the upstreams' port.
func (a *announcements) register(e *echo.Echo) {
	e.POST(announce.Path, a.handle)
}

func (a *announcements) handle(c echo.Context) error {
	var in announce.Announcement
	if err := c.Bind(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "invalid announcement: "+err.Error())
	}
	if err := in.Validate(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := checkAnnouncer(c.Request().TLS, in.Host.Name); err != nil {
		a.logger.Warn("announcement refused", "remote", c.RealIP(), "err", err)
		return echo.NewHTTPError(http.StatusForbidden, err.Error())
	}
	if !a.registry.recordAnnouncement(in) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "this gate has reached its limit of known hosts; announce to another gate")
	}
	a.events.Announced(in.Host)
	return c.JSON(http.StatusOK, announce.Reply{Gate: a.self})
}

// checkAnnouncer checks that the peer of a TLS connection is the host that it announces.
// Connections without TLS are not checked.
func checkAnnouncer(state *tls.ConnectionState, host view.HostName) error {
	if state == nil {
		return nil
	}
	id, err := access.PeerOf(*state)
	if err != nil {
		return err
	}
	if id.Role != access.Upstream || id.Name != string(host) {
		return eris.Wrapf(ErrHostMismatch, "%s announced host %s", id, host)
	}
	return nil
}
