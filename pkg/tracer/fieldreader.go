package tracer

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maximumCount bounds the sizes of a deployment, so that a mistyped one is
// refused instead of filling the memory.
const maximumCount = 100_000

// fieldReader hands out the fields of one JSON object and remembers the first
// error. Field names are compared exactly: encoding/json alone would take "AT"
// for "at" and let the last of two equal fields win without a word.
type fieldReader struct {
	fields map[string]json.RawMessage
	order  []string
	err    *Error
}

func newFieldReader(object []byte) (*fieldReader, *Error) {
	reader := &fieldReader{fields: make(map[string]json.RawMessage)}
	decoder := json.NewDecoder(bytes.NewReader(object))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, problem(ErrorMalformed, "not a JSON object")
	}
	for decoder.More() {
		if err := reader.addField(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, problem(ErrorMalformed, "not a whole JSON object: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, problem(ErrorMalformed, "more than one JSON object on the line")
	}
	return reader, nil
}

func (reader *fieldReader) addField(decoder *json.Decoder) *Error {
	token, err := decoder.Token()
	if err != nil {
		return problem(ErrorMalformed, "not a JSON object: %v", err)
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return problem(ErrorMalformed, "not a JSON object: %v", err)
	}
	if _, repeated := reader.fields[name]; repeated {
		return problem(ErrorRepeatedField, "field %q stands twice", name)
	}
	reader.fields[name] = value
	reader.order = append(reader.order, name)
	return nil
}

// finish reports the first error, or a field that nobody has asked for.
func (reader *fieldReader) finish() *Error {
	if reader.err != nil {
		return reader.err
	}
	for _, name := range reader.order {
		if _, unread := reader.fields[name]; unread {
			return problem(ErrorUnknownField, "field %q has no place here", name)
		}
	}
	return nil
}

func (reader *fieldReader) fail(kind ErrorKind, format string, arguments ...any) {
	if reader.err == nil {
		reader.err = problem(kind, format, arguments...)
	}
}

func (reader *fieldReader) has(name string) bool {
	_, found := reader.fields[name]
	return found
}

// take returns the raw value of a required field, or nil after an error.
func (reader *fieldReader) take(name string) json.RawMessage {
	value, found := reader.fields[name]
	if !found {
		reader.fail(ErrorMissingField, "field %q is missing", name)
		return nil
	}
	delete(reader.fields, name)
	return value
}

// decode fills target from a required field and tells whether it could.
func (reader *fieldReader) decode(name string, target any, wanted string) bool {
	value := reader.take(name)
	if value == nil {
		return false
	}
	if string(value) == "null" || json.Unmarshal(value, target) != nil {
		reader.fail(ErrorBadValue, "field %q must be %s, not %s", name, wanted, value)
		return false
	}
	return true
}

func (reader *fieldReader) text(name string) string {
	result := ""
	if reader.decode(name, &result, "a string") && result == "" {
		reader.fail(ErrorBadValue, "field %q is empty", name)
	}
	return result
}

func (reader *fieldReader) boolean(name string) bool {
	result := false
	reader.decode(name, &result, "true or false")
	return result
}

func (reader *fieldReader) count(name string) int {
	result := 0
	if reader.decode(name, &result, "a whole number") && (result < 1 || result > maximumCount) {
		reader.fail(ErrorBadValue, "field %q must be from 1 to %d, not %d", name, maximumCount, result)
	}
	return result
}

func (reader *fieldReader) unsigned(name string) uint64 {
	result := uint64(0)
	reader.decode(name, &result, "a whole number, zero or more")
	return result
}

func (reader *fieldReader) number(name string) float64 {
	result := float64(0)
	if reader.decode(name, &result, "a number") && result < 0 {
		reader.fail(ErrorBadValue, "field %q must not be below zero", name)
	}
	return result
}

func (reader *fieldReader) duration(name string) time.Duration {
	text := reader.text(name)
	if reader.err != nil {
		return 0
	}
	result, err := time.ParseDuration(text)
	if err != nil || result < 0 {
		reader.fail(ErrorBadValue, "field %q must be a duration, zero or more, not %s", name, strconv.Quote(text))
	}
	return result
}

func (reader *fieldReader) moment(name string) identifier.Moment {
	return identifier.Moment(reader.duration(name))
}

// names reads a list of names that must have at least one.
func names[Name ~string](reader *fieldReader, field string) []Name {
	var result []Name
	if !reader.decode(field, &result, "a list of names") {
		return nil
	}
	if len(result) == 0 {
		reader.fail(ErrorBadValue, "field %q is an empty list", field)
	}
	for _, name := range result {
		if name == "" {
			reader.fail(ErrorBadValue, "field %q has an empty name", field)
		}
	}
	return result
}

func (reader *fieldReader) objects(name string) []json.RawMessage {
	var result []json.RawMessage
	if reader.decode(name, &result, "a list") && len(result) == 0 {
		reader.fail(ErrorBadValue, "field %q is an empty list", name)
	}
	return result
}
