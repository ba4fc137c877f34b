// Package provider holds the dependencies that nearly every component of a process needs: the
// logger and the settings. They are passed explicitly instead of as globals.
package provider

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/logwriter"
)

// Common holds what the components of one process share.
type Common struct {
	Log      *log.Logger
	Settings *loader.Settings
}

// New returns a Common that logs one key=value line for each event to writer.
func New(settings *loader.Settings, writer io.Writer) *Common {
	logger := log.NewWithOptions(writer, log.Options{
		Level:           logLevel(settings.Log.Level),
		ReportTimestamp: true,
		TimeFormat:      logwriter.TimeFormat,
		Formatter:       log.LogfmtFormatter,
	})
	return &Common{Log: logger.With("host", settings.Host), Settings: settings}
}

func logLevel(level loader.LogLevel) log.Level {
	parsed, err := log.ParseLevel(level.String())
	if err != nil {
		return log.InfoLevel
	}
	return parsed
}
