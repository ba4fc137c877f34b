package assembler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// BenchmarkUnknownDocument reads a document with another form and 1,743 routes, as the platform has.
func BenchmarkUnknownDocument(b *testing.B) {
	var text strings.Builder
	text.WriteString(`{"version":7,"routes":[`)
	for index := range 1743 {
		if index > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"queue-%d","host":"jobs.example","pathPrefix":"/queue-%d/jobs/","service":"desk","timeoutMs":4000,"targetLatencyMs":60,"stretch":1.6,"priority":1,"maxAttempts":3}`, index, index)
	}
	text.WriteString(`],"services":[{"name":"desk","maxConns":200}],"limits":{"maxBodyBytes":262144}}`)
	content := []byte(text.String())
	settings := loader.Defaults()
	b.ReportAllocs()
	for b.Loop() {
		reader := newDocumentReader(&settings)
		reader.limits(content)
		reader.quotas(content)
	}
}
