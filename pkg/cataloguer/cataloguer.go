// Package cataloguer maps a caller's request to a queue of the configuration in force.
package cataloguer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Queue holds the settings for one kind of jobs.
type Queue struct {
	Name identifier.QueueName
	// Host and PathPrefix select the queue: Host equals the host of the request, and PathPrefix is
	// the longest one that its path begins with.
	Host       string
	PathPrefix string
	Service    identifier.ServiceName
	// Timeout is how long a caller waits whose request sets no deadline.
	Timeout time.Duration
	// A job is answered in time if its response time is at most Stretch times the longest run
	// time of its tasks, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	// Urgency is the priority of the queue's jobs; 0 comes first.
	Urgency int
	// Attempts is the number of runs of one task that may fail.
	Attempts int
}

// Limits bounds the requests of callers; zero means no limit.
type Limits struct {
	BodyBytes identifier.Bytes
}

// Catalogue holds the queues of one configuration version. It is immutable.
type Catalogue struct {
	Limits Limits
	// byHost holds the queues of each request host, the longest prefix first.
	byHost map[string][]Queue
}

// New returns a catalogue of the given queues and limits.
func New(queues []Queue, limits Limits) *Catalogue {
	created := &Catalogue{Limits: limits, byHost: make(map[string][]Queue)}
	for _, queue := range queues {
		created.byHost[queue.Host] = append(created.byHost[queue.Host], queue)
	}
	for _, queues := range created.byHost {
		slices.SortFunc(queues, func(first, second Queue) int {
			return cmp.Compare(len(second.PathPrefix), len(first.PathPrefix))
		})
	}
	return created
}

// Find returns the queue of a request and the rest of the path after the queue's prefix.
func (catalogue *Catalogue) Find(host, path string) (queue *Queue, rest string, found bool) {
	queues := catalogue.byHost[host]
	for index := range queues {
		if rest, found := strings.CutPrefix(path, queues[index].PathPrefix); found {
			return &queues[index], rest, true
		}
	}
	return nil, "", false
}
