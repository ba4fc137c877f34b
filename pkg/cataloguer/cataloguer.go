// Package cataloguer tells which queue a caller's request belongs to, by the
// configuration in force.
package cataloguer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Queue is where the jobs of one kind come in.
type Queue struct {
	Name identifier.QueueName
	// Host and PathPrefix select the queue: the host of the request, and the longest
	// prefix that its path begins with.
	Host       string
	PathPrefix string
	Service    identifier.ServiceName
	// Timeout is how long a caller waits that doesn't say for how long.
	Timeout time.Duration
	// Stretch times the longest run time plus Allowance is the response time that
	// counts as in time.
	Stretch   float64
	Allowance time.Duration
	// Urgency is 0 for what comes first.
	Urgency int
	// Attempts is how many runs of one task may fail.
	Attempts int
}

// Limits bounds what callers may send; zero bounds nothing.
type Limits struct {
	BodyBytes identifier.Bytes
}

// Catalogue is one version of the queues. It is never changed.
type Catalogue struct {
	Limits Limits
	// byHost holds each host's queues, the longest prefix first.
	byHost map[string][]Queue
}

// New returns the catalogue of queues.
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

// Find returns the queue of a request, and what follows its prefix in the path.
func (catalogue *Catalogue) Find(host, path string) (queue *Queue, rest string, found bool) {
	queues := catalogue.byHost[host]
	for index := range queues {
		if rest, found := strings.CutPrefix(path, queues[index].PathPrefix); found {
			return &queues[index], rest, true
		}
	}
	return nil, "", false
}
