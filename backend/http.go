package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// maxAnnounceBytes bounds the body of an announcement; 64 services with the
	// longest names fit.
	maxAnnounceBytes = "16K"
	maxServices      = 64
)

// Announcement is the body of POST /announce.
type Announcement struct {
	// Name is for logs and the operator.
	Name string `json:"name"`
	// Address is the IP address and port where the backend server takes tasks.
	Address  string   `json:"address"`
	Services []string `json:"services"`
}

// Reply answers POST /announce and POST /leave.
type Reply struct {
	Status string `json:"status"`
	// Running is the number of tasks that run at the backend server. One that
	// leaves repeats its request until it is zero.
	Running int    `json:"running"`
	Error   string `json:"error,omitempty"`
}

// Register adds the routes for the backend server to e.
func (s *Server) Register(e *echo.Echo) {
	limit := middleware.BodyLimit(maxAnnounceBytes)
	e.POST("/announce", s.handleAnnounce, limit)
	e.POST("/leave", s.handleLeave, limit)
}

func (s *Server) handleAnnounce(c echo.Context) error {
	var a Announcement
	// The content type is not looked at, so that a plain curl works.
	if err := json.NewDecoder(c.Request().Body).Decode(&a); err != nil {
		return c.JSON(http.StatusBadRequest, Reply{Error: "the announcement is not JSON with name, address and services"})
	}
	if msg := a.fault(); msg != "" {
		return c.JSON(http.StatusBadRequest, Reply{Error: msg})
	}
	s.announce(a.Name, a.Address, a.Services)
	return s.reply(c)
}

func (s *Server) handleLeave(c echo.Context) error {
	s.leave()
	return s.reply(c)
}

func (s *Server) reply(c echo.Context) error {
	return c.JSON(http.StatusOK, Reply{Status: s.State().Status.String(), Running: s.options.Running()})
}

func (a *Announcement) fault() string {
	if a.Name == "" || len(a.Name) > api.MaxNameLength {
		return fmt.Sprintf("name must have 1 to %d bytes", api.MaxNameLength)
	}
	if p, err := netip.ParseAddrPort(a.Address); err != nil || p.Port() == 0 {
		return fmt.Sprintf("address %q is not an IP address and port, such as 10.0.0.7:8080", a.Address)
	}
	if len(a.Services) == 0 || len(a.Services) > maxServices {
		return fmt.Sprintf("services must have 1 to %d entries", maxServices)
	}
	for _, name := range a.Services {
		if name == "" || len(name) > api.MaxNameLength {
			return fmt.Sprintf("service name %q must have 1 to %d bytes", name, api.MaxNameLength)
		}
	}
	return ""
}
