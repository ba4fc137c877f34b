package assembler

import (
	"encoding/json"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// ConfigBody is the JSON form of one version of the configuration. Document is "{}" where the
// version has none.
type ConfigBody struct {
	configurer.Version
	Document json.RawMessage `json:"document"`
}

func bodyOf(version configurer.Version) ConfigBody {
	// A document that can't be decompressed is shown as if there were none.
	content, err := version.Content()
	body := ConfigBody{Version: version, Document: content}
	if err != nil || len(content) == 0 {
		body.Document = json.RawMessage("{}")
	}
	return body
}

// ChangeBody is the JSON form of a request to change the configuration. Expected is the version
// that the change is based on.
type ChangeBody struct {
	Request  identifier.RequestID     `json:"request"`
	Expected identifier.ConfigVersion `json:"expected"`
	Operator string                   `json:"operator"`
	Document json.RawMessage          `json:"document"`
}

// ErrorBody is the JSON form of the response to a request that could not be served.
type ErrorBody struct {
	// Error is the kind of error, Detail explains it in a sentence.
	Error  string `json:"error"`
	Detail string `json:"detail"`
	// Problems lists the errors of a configuration document.
	Problems []loader.Problem `json:"problems,omitempty"`
}
