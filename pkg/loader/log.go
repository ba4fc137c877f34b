package loader

//go:generate enumer -type=LogLevel -trimprefix=LogLevel -transform=kebab -text -output=loglevel_enumer.go

// Log says what is logged.
type Log struct {
	// Level is the least level that is logged: `debug`, `info`, `warn` or `error`.
	Level LogLevel `json:"level"`
}

// LogLevel is the least level of the lines that are logged.
type LogLevel int

const (
	// LogLevelDebug logs everything.
	LogLevelDebug LogLevel = iota + 1
	// LogLevelInfo logs each event of normal work.
	LogLevelInfo
	// LogLevelWarn logs only what may need an operator.
	LogLevelWarn
	// LogLevelError logs only what failed.
	LogLevelError
)
