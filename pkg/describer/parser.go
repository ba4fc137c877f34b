package describer

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ParseSpec parses the JSON of a spec. An unknown key is an error.
func ParseSpec(content []byte) (*Spec, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return nil, eris.Wrap(err, "the intent is malformed")
	}
	return &spec, nil
}
