package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/settings"
)

// NewLogger returns a logger that writes to out and adds the program name to each
// line. An unknown level is treated as info; package settings rejects unknown levels
// when it reads a settings file.
func NewLogger(program string, s settings.Logging, out io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if s.Format == "text" {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		l.SetLevel(level)
	}
	return l.WithField("program", program)
}
