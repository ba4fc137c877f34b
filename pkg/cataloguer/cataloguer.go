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
	// Host and PathPrefix select the queue: Host is the host of the request, and PathPrefix is the
	// longest one that its path begins with.
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
	// byName holds the queues of all spellings of a host by its name in lower case.
	byName map[string]*hostQueues
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
	created := &Catalogue{Limits: limits, byHost: make(map[string]*hostQueues), byName: make(map[string]*hostQueues)}
	for index := range queues {
		queue := &queues[index]
		addTo(created.byHost, queue.Host, queue)
		addTo(created.byName, strings.ToLower(queue.Host), queue)
	}
	for _, hosts := range []map[string]*hostQueues{created.byHost, created.byName} {
		for _, host := range hosts {
			slices.SortFunc(host.lengths, func(first, second int) int { return cmp.Compare(second, first) })
		}
	}
	return created
}

func addTo(hosts map[string]*hostQueues, name string, queue *Queue) {
	host := hosts[name]
	if host == nil {
		host = &hostQueues{byPrefix: make(map[string]*Queue)}
		hosts[name] = host
	}
	host.add(queue)
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

// Find returns the queue of a request and the rest of the path after the queue's prefix. A host that
// no queue names exactly is compared without case and without its port, as HTTP does.
func (catalogue *Catalogue) Find(host, path string) (queue *Queue, rest string, found bool) {
	if queue := catalogue.byHost[host].find(path); queue != nil {
		return queue, path[len(queue.PathPrefix):], true
	}
	if queue := catalogue.byName[strings.ToLower(withoutPort(host))].find(path); queue != nil {
		return queue, path[len(queue.PathPrefix):], true
	}
	return nil, "", false
}

// find returns the queue with the longest prefix of a path, or nil.
func (host *hostQueues) find(path string) *Queue {
	if host == nil {
		return nil
	}
	for _, length := range host.lengths {
		if length > len(path) {
			continue
		}
		if queue := host.byPrefix[path[:length]]; queue != nil {
			return queue
		}
	}
	return nil
}

// withoutPort returns a host without a colon and port at its end.
func withoutPort(host string) string {
	name := strings.TrimRight(host, "0123456789")
	if !strings.HasSuffix(name, ":") || strings.Contains(name[:len(name)-1], ":") && !strings.HasSuffix(name, "]:") {
		return host
	}
	return name[:len(name)-1]
}
