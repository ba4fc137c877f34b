package assembler

import (
	"bytes"
	"sync"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// documentReader applies configuration documents to the settings of a host. Each document is needed
// several times in the tick in which it comes into force, so the last one is kept.
type documentReader struct {
	settings *loader.Settings

	mutex sync.Mutex
	// content is the document that was last read, effective its settings and err its error.
	content   []byte
	effective *loader.Settings
	err       error
}

func newDocumentReader(settings *loader.Settings) *documentReader {
	return &documentReader{settings: settings}
}

// apply returns the host's settings with a document applied. The caller must not change them. The
// name is used in errors only, and only when the document is read for the first time.
func (reader *documentReader) apply(name string, content []byte) (*loader.Settings, error) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.content == nil || !bytes.Equal(reader.content, content) {
		reader.effective, reader.err = withConfiguration(reader.settings, name, content)
		reader.content = content
	}
	return reader.effective, reader.err
}

// limits returns the limits of teams and classes under a document, and false if it is not valid.
func (reader *documentReader) limits(content []byte) (dispatcher.LimitsConfigured, bool) {
	effective, err := reader.apply("document", content)
	if err != nil {
		return dispatcher.LimitsConfigured{}, false
	}
	return limitsOf(effective), true
}

// quotas returns the quotas of teams under a document, and false if it is not valid.
func (reader *documentReader) quotas(content []byte) ([]planner.TeamQuota, bool) {
	effective, err := reader.apply("document", content)
	if err != nil {
		return nil, false
	}
	return quotasOf(effective), true
}
