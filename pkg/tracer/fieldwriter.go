package tracer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// fieldWriter builds one JSON object. Its fields are in the order of the calls.
type fieldWriter struct {
	line []byte
}

func (writer *fieldWriter) name(name string) {
	separator := byte(',')
	if len(writer.line) == 0 {
		separator = '{'
	}
	writer.line = append(writer.line, separator)
	writer.line = appendText(writer.line, name)
	writer.line = append(writer.line, ':')
}

func (writer *fieldWriter) text(name, value string) {
	writer.name(name)
	writer.line = appendText(writer.line, value)
}

func (writer *fieldWriter) boolean(name string, value bool) {
	writer.name(name)
	writer.line = strconv.AppendBool(writer.line, value)
}

func (writer *fieldWriter) count(name string, value int) {
	writer.name(name)
	writer.line = strconv.AppendInt(writer.line, int64(value), 10)
}

func (writer *fieldWriter) unsigned(name string, value uint64) {
	writer.name(name)
	writer.line = strconv.AppendUint(writer.line, value, 10)
}

func (writer *fieldWriter) number(name string, value float64) {
	writer.name(name)
	writer.line = strconv.AppendFloat(writer.line, value, 'f', -1, 64)
}

func (writer *fieldWriter) duration(name string, value time.Duration) {
	writer.text(name, formatDuration(value))
}

func (writer *fieldWriter) moment(name string, value identifier.Moment) {
	writer.duration(name, time.Duration(value))
}

func writeNames[Name ~string](writer *fieldWriter, field string, values []Name) {
	writer.name(field)
	for position, value := range values {
		writer.line = append(writer.line, listSeparator(position))
		writer.line = appendText(writer.line, string(value))
	}
	writer.line = append(writer.line, ']')
}

// listSeparator returns the character before the list element at position.
func listSeparator(position int) byte {
	if position == 0 {
		return '['
	}
	return ','
}

// appendText appends a JSON string. It doesn't use json.Marshal, whose HTML
// escapes would change the bytes of a name that contains an ampersand.
func appendText(line []byte, text string) []byte {
	if strings.IndexFunc(text, needsEscape) < 0 {
		line = append(line, '"')
		line = append(line, text...)
		return append(line, '"')
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(text); err != nil {
		return strconv.AppendQuote(line, text)
	}
	return append(line, bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))...)
}

// needsEscape reports whether appendText leaves the character to encoding/json:
// JSON strings must escape it, or it is outside of printable ASCII.
func needsEscape(character rune) bool {
	return character < ' ' || character > '~' || character == '"' || character == '\\'
}

// durationUnits are the units of formatDuration, largest first; smaller values are
// written in nanoseconds.
var durationUnits = []struct {
	unit time.Duration
	name string
}{
	{time.Second, "s"},
	{time.Millisecond, "ms"},
	{time.Microsecond, "us"},
}

// formatDuration formats a duration in a single unit, as people write them in
// traces: "60s", "1.2s" and "250us". Duration.String would return "1m0s" for 60s.
func formatDuration(value time.Duration) string {
	if value == 0 {
		return "0s"
	}
	for _, candidate := range durationUnits {
		if value >= candidate.unit {
			return decimal(value, candidate.unit) + candidate.name
		}
	}
	return strconv.FormatInt(int64(value), 10) + "ns"
}

// decimal formats value as a multiple of unit with no more decimals than needed. It
// uses integers only, since floats would round nanosecond times in long traces.
func decimal(value, unit time.Duration) string {
	text := strconv.FormatInt(int64(value/unit), 10)
	rest := value % unit
	if rest == 0 {
		return text
	}
	digits := strconv.FormatInt(int64(unit+rest), 10)[1:]
	return text + "." + string(bytes.TrimRight([]byte(digits), "0"))
}
