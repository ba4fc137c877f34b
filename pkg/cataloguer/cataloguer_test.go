package cataloguer_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/cataloguer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	_ "github.com/stoathitch/stoathitch/pkg/seeder"
)

// Guards against a request that reaches another queue than the one with the longest prefix of its
// path, by comparing with a search of all queues.
func TestFindMatchesASearchOfAllQueues(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		prefix := rapid.StringMatching(`(/[ab]{0,2}){0,3}`)
		var queues []cataloguer.Queue
		for index, path := range rapid.SliceOfDistinct(prefix, func(path string) string { return path }).Draw(draw, "prefixes") {
			queues = append(queues, cataloguer.Queue{
				Name: identifier.QueueName(rune('a' + index%26)), Host: rapid.SampledFrom([]string{"one", "two"}).Draw(draw, "host"), PathPrefix: path,
			})
		}
		host, path := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(draw, "request host"), prefix.Draw(draw, "path")
		var want *cataloguer.Queue
		for index := range queues {
			queue := &queues[index]
			if queue.Host == host && strings.HasPrefix(path, queue.PathPrefix) && (want == nil || len(queue.PathPrefix) > len(want.PathPrefix)) {
				want = queue
			}
		}
		got, rest, found := cataloguer.New(queues, cataloguer.Limits{}).Find(host, path)
		if found != (want != nil) || found && (got.PathPrefix != want.PathPrefix || got.PathPrefix+rest != path) {
			draw.Errorf("%s%s: got %v %q, want %v", host, path, got, rest, want)
		}
	})
}
