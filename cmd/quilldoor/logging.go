package main

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// logger makes the log as --log-level and --log-format want it.
func (f *flags) logger() (*logrus.Logger, error) {
	const timestamp = "2006-01-02T15:04:05.000Z07:00"
	level, err := logrus.ParseLevel(f.logLevel)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	log := logrus.New()
	log.SetLevel(level)
	switch f.logFormat {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timestamp})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestamp})
	default:
		return nil, fmt.Errorf("--log-format: %q is neither text nor json", f.logFormat)
	}
	return log, nil
}
