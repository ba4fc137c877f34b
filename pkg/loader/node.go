package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"
)

// node is one JSON value with its place in the file. encoding/json decodes into
// structs without places and stops at the first wrong type; the tree of nodes
// lets every problem be found in one pass and named with its line.
type node struct {
	offset int64
	// token is the value of a scalar (string, json.Number, bool, nil) or the opening
	// json.Delim of an object or a list.
	token    json.Token
	members  []member
	elements []*node
}

// member is one key of an object with its value.
type member struct {
	key    string
	offset int64
	value  *node
}

// syntaxError tells where content is not JSON.
type syntaxError struct {
	offset  int64
	message string
}

// readNode returns the tree of content, or where it is not JSON.
func readNode(content []byte) (*node, *syntaxError) {
	if broken := checkSyntax(content); broken != nil {
		return nil, broken
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	root, err := readValue(decoder)
	if err != nil {
		return nil, &syntaxError{offset: decoder.InputOffset(), message: err.Error()}
	}
	return root, nil
}

// checkSyntax finds the first place where content is not one JSON value.
func checkSyntax(content []byte) *syntaxError {
	if !utf8.Valid(content) {
		return &syntaxError{offset: invalidUTF8Offset(content), message: "not UTF-8 text"}
	}
	var raw json.RawMessage
	err := json.Unmarshal(content, &raw)
	if err == nil {
		return nil
	}
	var broken *json.SyntaxError
	if errors.As(err, &broken) {
		return &syntaxError{offset: broken.Offset, message: broken.Error()}
	}
	return &syntaxError{offset: int64(len(content)), message: err.Error()}
}

func invalidUTF8Offset(content []byte) int64 {
	offset := 0
	for offset < len(content) {
		char, size := utf8.DecodeRune(content[offset:])
		if char == utf8.RuneError && size <= 1 {
			break
		}
		offset += size
	}
	return int64(offset)
}

func readValue(decoder *json.Decoder) (*node, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	value := &node{offset: decoder.InputOffset(), token: token}
	switch token {
	case json.Delim('{'):
		err = value.readMembers(decoder)
	case json.Delim('['):
		err = value.readElements(decoder)
	}
	return value, err
}

func (value *node) readMembers(decoder *json.Decoder) error {
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key, isString := token.(string)
		if !isString {
			return io.ErrUnexpectedEOF
		}
		offset := decoder.InputOffset()
		child, err := readValue(decoder)
		if err != nil {
			return err
		}
		value.members = append(value.members, member{key: key, offset: offset, value: child})
	}
	_, err := decoder.Token()
	return err
}

func (value *node) readElements(decoder *json.Decoder) error {
	for decoder.More() {
		child, err := readValue(decoder)
		if err != nil {
			return err
		}
		value.elements = append(value.elements, child)
	}
	_, err := decoder.Token()
	return err
}

// describe returns the JSON type of the value, as it is called in messages.
func (value *node) describe() string {
	switch token := value.token.(type) {
	case json.Delim:
		if token == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	default:
		return "null"
	}
}
