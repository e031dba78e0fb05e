package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/settings"
)

// NewLog returns a logger that writes to out and marks each line with the name
// of the program. Settings that were read by package settings are valid; an
// unknown level means info.
func NewLog(program string, s settings.Logging, out io.Writer) *logrus.Entry {
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
