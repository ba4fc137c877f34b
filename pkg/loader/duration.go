package loader

import "time"

// Duration is an interval that reads and writes as a Go duration string, such
// as "250ms" or "1m30s".
type Duration time.Duration

// Std returns the duration in the type of package time.
func (duration Duration) Std() time.Duration { return time.Duration(duration) }

// String returns the duration as it is written in a settings file.
func (duration Duration) String() string { return time.Duration(duration).String() }

// MarshalText writes the duration as a Go duration string.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}

// UnmarshalText reads a Go duration string.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}
