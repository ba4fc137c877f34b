package logwriter

import (
	"strconv"
	"strings"
	"time"
)

// TimeFormat is the time format of all log lines of a process; lines sort by time.
const TimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Line builds one line of key=value pairs. Strings are quoted only where needed.
type Line struct{ buffer []byte }

// Begin appends the time, level and message of a new line to buffer.
func Begin(buffer []byte, now time.Time, level, message string) Line {
	buffer = append(buffer, "time="...)
	buffer = now.AppendFormat(buffer, TimeFormat)
	line := Line{buffer: buffer}
	return line.Text("level", level).Text("msg", message)
}

// Text appends a string, quoted if it contains a blank, a quote, an equals sign or a line break.
func (line Line) Text(key, value string) Line {
	line.buffer = line.key(key)
	if strings.ContainsAny(value, " \"=\n\r\t") {
		line.buffer = strconv.AppendQuote(line.buffer, value)
		return line
	}
	line.buffer = append(line.buffer, value...)
	return line
}

// Number appends an integer in decimal.
func (line Line) Number(key string, value int64) Line {
	line.buffer = strconv.AppendInt(line.key(key), value, 10)
	return line
}

// Duration appends a duration in the format of time.Duration.String, such as 1.5s.
func (line Line) Duration(key string, value time.Duration) Line {
	line.buffer = append(line.key(key), value.String()...)
	return line
}

// End returns the buffer with the line and its line break.
func (line Line) End() []byte { return append(line.buffer, '\n') }

func (line Line) key(key string) []byte {
	buffer := append(line.buffer, ' ')
	buffer = append(buffer, key...)
	return append(buffer, '=')
}

func appendDroppedCount(buffer []byte, now time.Time, kind Kind, lines int) []byte {
	return Begin(buffer, now, "warn", "lines-left-out").Text("kind", string(kind)).Number("lines", int64(lines)).End()
}
