package assembler

import (
	"encoding/json"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// ConfigBody is the JSON of a version of the configuration.
type ConfigBody struct {
	configurer.Version
	Document json.RawMessage `json:"document"`
}

func bodyOf(version configurer.Version) ConfigBody {
	body := ConfigBody{Version: version, Document: version.Document}
	if len(body.Document) == 0 {
		body.Document = json.RawMessage("{}")
	}
	return body
}

// ChangeBody is the JSON of a change of the configuration.
type ChangeBody struct {
	Request  identifier.RequestID     `json:"request"`
	Expected identifier.ConfigVersion `json:"expected"`
	Operator string                   `json:"operator"`
	Document json.RawMessage          `json:"document"`
}

// ErrorBody is the JSON of a request that could not be served.
type ErrorBody struct {
	// Error names the kind of error, Detail says it in a sentence.
	Error  string `json:"error"`
	Detail string `json:"detail"`
	// Problems lists what is wrong in a configuration document.
	Problems []loader.Problem `json:"problems,omitempty"`
}
