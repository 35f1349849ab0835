package main

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// logger returns a logger with the level and format of --log-level and --log-format.
func (f *flags) logger() (*logrus.Logger, error) {
	const timestampFormat = "2006-01-02T15:04:05.000Z07:00"
	level, err := logrus.ParseLevel(f.logLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	log := logrus.New()
	log.SetLevel(level)
	switch f.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestampFormat})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	default:
		return nil, fmt.Errorf("--log-format: %q is neither text nor json", f.logFormat)
	}
	return log, nil
}
