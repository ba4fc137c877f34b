package tracer

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxCount is the upper bound of the sizes of a deployment. A mistyped size is
// rejected by it instead of using up the memory.
const maxCount = 100_000

// fieldReader reads the fields of one JSON object and keeps the first error. Field
// names are case-sensitive and must be unique: encoding/json alone would accept
// "AT" for "at", and silently use the last one of two fields with the same name.
type fieldReader struct {
	fields map[string]json.RawMessage
	order  []string
	err    *Error
}

func newFieldReader(object []byte) (*fieldReader, *Error) {
	reader := &fieldReader{fields: make(map[string]json.RawMessage)}
	decoder := json.NewDecoder(bytes.NewReader(object))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, newParseError(ErrorMalformed, "not a JSON object")
	}
	for decoder.More() {
		if err := reader.addField(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, newParseError(ErrorMalformed, "not a whole JSON object: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, newParseError(ErrorMalformed, "more than one JSON object on the line")
	}
	return reader, nil
}

func (reader *fieldReader) addField(decoder *json.Decoder) *Error {
	token, err := decoder.Token()
	if err != nil {
		return newParseError(ErrorMalformed, "not a JSON object: %v", err)
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return newParseError(ErrorMalformed, "not a JSON object: %v", err)
	}
	if _, repeated := reader.fields[name]; repeated {
		return newParseError(ErrorRepeatedField, "field %q stands twice", name)
	}
	reader.fields[name] = value
	reader.order = append(reader.order, name)
	return nil
}

// finish returns the first error, or an error for a field that was not read.
func (reader *fieldReader) finish() *Error {
	if reader.err != nil {
		return reader.err
	}
	for _, name := range reader.order {
		if _, unread := reader.fields[name]; unread {
			return newParseError(ErrorUnknownField, "field %q has no place here", name)
		}
	}
	return nil
}

func (reader *fieldReader) fail(kind ErrorKind, format string, arguments ...any) {
	if reader.err == nil {
		reader.err = newParseError(kind, format, arguments...)
	}
}

func (reader *fieldReader) has(name string) bool {
	_, found := reader.fields[name]
	return found
}

// consume removes a required field and returns its raw value, or nil if the field
// is missing.
func (reader *fieldReader) consume(name string) json.RawMessage {
	value, found := reader.fields[name]
	if !found {
		reader.fail(ErrorMissingField, "field %q is missing", name)
		return nil
	}
	delete(reader.fields, name)
	return value
}

// decode decodes a required field into target and reports whether it succeeded.
// wanted describes the expected value in the error.
func (reader *fieldReader) decode(name string, target any, wanted string) bool {
	value := reader.consume(name)
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
	if reader.decode(name, &result, "a whole number") && (result < 1 || result > maxCount) {
		reader.fail(ErrorBadValue, "field %q must be from 1 to %d, not %d", name, maxCount, result)
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

// readNames reads a list of at least one name; no name may be empty.
func readNames[Name ~string](reader *fieldReader, field string) []Name {
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
