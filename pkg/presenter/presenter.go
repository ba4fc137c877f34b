// Package presenter renders the status page of a host: one HTML page without scripts or
// external assets. The same data is served as JSON.
package presenter

import (
	_ "embed" // for the template
	"html/template"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/measurer"
)

// Overview holds all data of the status page.
type Overview struct {
	coordinator.Status
	// Waiting counts the requests of callers that wait for an answer on this host.
	Waiting int `json:"waiting"`
	// WaitingBytes is the total size of their bodies.
	WaitingBytes identifier.Bytes `json:"waiting-bytes"`
	// CertificateExpires is when the host's certificate expires, in RFC 3339; empty where
	// connections are unencrypted.
	CertificateExpires string `json:"certificate-expires,omitempty"`
	// Responses holds the response times to callers, by team and class.
	Responses []measurer.Response `json:"responses"`
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"state": ServerState,
	"upTo":  bucketLabel,
	"share": bucketPercent,
}).Parse(pageText))

// WritePage renders the status page of overview as HTML.
func WritePage(writer io.Writer, overview *Overview) error {
	return eris.Wrap(page.Execute(writer, overview), "write the status page")
}

// ServerState returns the state of a backend server in one word.
func ServerState(server dispatcher.ServerStatus) string {
	switch {
	case !server.Connected:
		return "disconnected"
	case server.Silent:
		return "silent"
	case server.Leaving:
		return "leaving"
	default:
		return "connected"
	}
}

// bucketLabel returns the label of a bucket of response times.
func bucketLabel(bucket measurer.Bucket) string {
	if bucket.UpTo == 0 {
		return "longer"
	}
	return "up to " + strconv.FormatFloat(bucket.UpTo, 'f', -1, 64) + " ms"
}

// bucketPercent returns the percentage of all answers that are in the bucket.
func bucketPercent(bucket measurer.Bucket, response measurer.Response) int64 {
	return bucket.Count * 100 / max(response.Count, 1)
}
