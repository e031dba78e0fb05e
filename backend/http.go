package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/intake"
)

const (
	// maxAnnounceBytes limits the body of an announcement and of a leave request.
	// An announcement of maxServices names of the maximum length fits.
	maxAnnounceBytes = 16 << 10
	maxServices      = 64
)

// Announcement is the body of POST /announce.
type Announcement struct {
	// Name identifies the backend server in logs and to operators.
	Name string `json:"name"`
	// Address is the IP address and port at which the backend server accepts
	// tasks.
	Address  string   `json:"address"`
	Services []string `json:"services"`
}

// Reply answers POST /announce and POST /leave.
type Reply struct {
	Status string `json:"status"`
	// Running is the number of tasks that run at the backend server. A backend
	// server that leaves repeats its leave request until Running is zero.
	Running int    `json:"running"`
	Error   string `json:"error,omitempty"`
}

// Register adds to e the routes for requests of the backend server.
func (s *Server) Register(e *echo.Echo) {
	e.POST("/announce", s.handleAnnounce)
	e.POST("/leave", s.handleLeave, middleware.BodyLimit(strconv.Itoa(maxAnnounceBytes)))
}

func (s *Server) handleAnnounce(c echo.Context) error {
	var a Announcement
	// The content type is ignored, so that announcements sent with curl need no
	// Content-Type header.
	err := intake.ReadBody(c.Request(), maxAnnounceBytes, func(body []byte) error {
		return json.NewDecoder(bytes.NewReader(body)).Decode(&a)
	})
	if status, ok := intake.Status(c.Response(), err); ok {
		return echo.NewHTTPError(status)
	}
	if err != nil {
		return c.JSON(http.StatusBadRequest, Reply{Error: "the body is not JSON with name, address and services"})
	}
	if msg := a.validate(); msg != "" {
		return c.JSON(http.StatusBadRequest, Reply{Error: msg})
	}
	s.applyAnnouncement(a.Name, a.Address, a.Services)
	return s.writeReply(c)
}

func (s *Server) handleLeave(c echo.Context) error {
	s.markLeaving()
	return s.writeReply(c)
}

func (s *Server) writeReply(c echo.Context) error {
	return c.JSON(http.StatusOK, Reply{Status: s.State().Status.String(), Running: s.options.Running()})
}

// validate returns a message that says what is wrong with the announcement, or "".
func (a *Announcement) validate() string {
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
