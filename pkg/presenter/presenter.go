// Package presenter shows the state of a host to people: one HTML page without
// scripts or outside assets. The same is served as JSON.
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

// Overview is all that the page shows.
type Overview struct {
	coordinator.Status
	// Waiting counts the requests of callers that wait for an answer here.
	Waiting int `json:"waiting"`
	// WaitingBytes is the sum of their bodies.
	WaitingBytes identifier.Bytes `json:"waiting-bytes"`
	// CertificateExpires is when the host's certificate ends, in RFC 3339; empty where
	// connections are in the clear.
	CertificateExpires string `json:"certificate-expires,omitempty"`
	// Responses are the response times to callers, by team and class.
	Responses []measurer.Response `json:"responses"`
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"state": ServerState,
	"upTo":  upTo,
	"share": share,
}).Parse(pageText))

// WritePage writes the page.
func WritePage(writer io.Writer, overview *Overview) error {
	return eris.Wrap(page.Execute(writer, overview), "write the status page")
}

// ServerState says in a word how a backend server is.
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

// upTo names a bucket.
func upTo(bucket measurer.Bucket) string {
	if bucket.UpTo == 0 {
		return "longer"
	}
	return "up to " + strconv.FormatFloat(bucket.UpTo, 'f', -1, 64) + " ms"
}

// share is a bucket's part of all answers, in percent.
func share(bucket measurer.Bucket, response measurer.Response) int64 {
	return bucket.Count * 100 / max(response.Count, 1)
}
