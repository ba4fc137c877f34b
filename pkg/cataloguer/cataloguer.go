// Package cataloguer maps a caller's request to a queue of the configuration in force.
package cataloguer

import (
	"cmp"
	"slices"
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
	byHost map[string]*hostQueues
}

// hostQueues holds the queues of one request host by their prefixes.
type hostQueues struct {
	byPrefix map[string]*Queue
	// lengths are the different lengths of the prefixes, the longest first. A request is looked up
	// once for each, so that its cost does not grow with the number of queues.
	lengths []int
}

// New returns a catalogue of the given queues and limits. Of queues with the same host and prefix, the
// first one is used.
func New(queues []Queue, limits Limits) *Catalogue {
	created := &Catalogue{Limits: limits, byHost: make(map[string]*hostQueues)}
	for index := range queues {
		queue := &queues[index]
		host := created.byHost[queue.Host]
		if host == nil {
			host = &hostQueues{byPrefix: make(map[string]*Queue)}
			created.byHost[queue.Host] = host
		}
		host.add(queue)
	}
	for _, host := range created.byHost {
		slices.SortFunc(host.lengths, func(first, second int) int { return cmp.Compare(second, first) })
	}
	return created
}

func (host *hostQueues) add(queue *Queue) {
	if host.byPrefix[queue.PathPrefix] != nil {
		return
	}
	host.byPrefix[queue.PathPrefix] = queue
	if length := len(queue.PathPrefix); !slices.Contains(host.lengths, length) {
		host.lengths = append(host.lengths, length)
	}
}

// Find returns the queue of a request and the rest of the path after the queue's prefix.
func (catalogue *Catalogue) Find(host, path string) (queue *Queue, rest string, found bool) {
	queues := catalogue.byHost[host]
	if queues == nil {
		return nil, "", false
	}
	for _, length := range queues.lengths {
		if length > len(path) {
			continue
		}
		if queue := queues.byPrefix[path[:length]]; queue != nil {
			return queue, path[length:], true
		}
	}
	return nil, "", false
}
