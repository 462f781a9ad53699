package telemetry

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Log formats accepted by NewLog.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// NewLog returns a logger that writes to standard error. level is a logrus level name,
// format is FormatJSON or FormatText; empty strings mean info and JSON.
func NewLog(level, format string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if level != "" {
		parsed, err := logrus.ParseLevel(level)
		if err != nil {
			return nil, errors.Wrap(err, "log level")
		}
		log.SetLevel(parsed)
	}
	switch format {
	case "", FormatJSON:
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	case FormatText:
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	default:
		return nil, errors.Errorf("log format %q: allowed are %s and %s", format, FormatJSON, FormatText)
	}
	return log, nil
}
