package replayer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// QueueOrder is the order in which the central queue serves jobs.
type QueueOrder int

// Orders of the central queue.
const (
	// OrderFirstCome serves jobs in the order of their arrival.
	OrderFirstCome QueueOrder = iota
	// OrderFewestTasks serves the job with the fewest tasks first, which needs no estimate
	// of run times.
	OrderFewestTasks
	// OrderLeastWork serves the job with the smallest sum of run times first, as if they
	// were known in advance.
	OrderLeastWork
)

// PlacementScope is the set of failure domains in which the central queue may run a job.
type PlacementScope int

// Reaches of the central queue.
const (
	// PlacementAllowedDomains allows every failure domain in which the job may run.
	PlacementAllowedDomains PlacementScope = iota
	// PlacementHomeDomain allows only the job's home, as if each failure domain had a queue of its own.
	PlacementHomeDomain
)

// SimulateCentralQueue simulates one queue over all slots and returns the distribution of response
// time over ideal response time. The queue knows every run time, adds no delay beyond the
// ideal's, loses nothing and leaves no slot idle that a waiting task may use. It ignores
// faults, cancellations, deadlines and resends. It is a bound: no dispatcher that serves
// jobs in the same order has shorter queues, so a lower target can't be met on this trace.
func SimulateCentralQueue(trace *tracer.Trace, order QueueOrder, reach PlacementScope) Distribution {
	queue := newCentralQueue(trace, order, reach)
	for _, event := range trace.Events {
		if job, isJob := event.(*tracer.Job); isJob {
			queue.arrive(job)
		}
	}
	queue.runUntil(identifier.Never)
	return NewDistribution(queue.ratios)
}

type centralQueue struct {
	deployment *tracer.Deployment
	order      QueueOrder
	reach      PlacementScope
	free       map[identifier.FailureDomain]identifier.Slots
	waiting    []*centralJob
	ends       endHeap
	known      map[identifier.SubmissionID]bool
	ratios     []float64
}

type centralJob struct {
	job     *tracer.Job
	domains []identifier.FailureDomain
	rank    int64
	// queued holds the run times of the tasks that have not started, the longest first,
	// since the last task to end determines the job's response time.
	queued  []time.Duration
	running int
}

type taskEnd struct {
	at     identifier.Moment
	job    *centralJob
	domain identifier.FailureDomain
}

func newCentralQueue(trace *tracer.Trace, order QueueOrder, reach PlacementScope) *centralQueue {
	deployment := &trace.Deployment
	queue := &centralQueue{
		deployment: deployment,
		order:      order,
		reach:      reach,
		free:       make(map[identifier.FailureDomain]identifier.Slots),
		known:      make(map[identifier.SubmissionID]bool),
	}
	for _, domain := range deployment.FailureDomains {
		queue.free[domain] = identifier.Slots(deployment.ExecutorsPerFailureDomain) * deployment.Slots
	}
	return queue
}

func (queue *centralQueue) arrive(job *tracer.Job) {
	queue.runUntil(job.At)
	if queue.known[job.Submission] {
		return
	}
	queue.known[job.Submission] = true
	created := &centralJob{job: job, domains: job.FailureDomains(queue.deployment)}
	for _, task := range job.Tasks {
		created.queued = append(created.queued, task.RunTime)
	}
	slices.SortFunc(created.queued, func(first, second time.Duration) int { return cmp.Compare(second, first) })
	if queue.reach == PlacementHomeDomain {
		created.domains = created.domains[:1]
	}
	created.rank = queue.rank(job)
	position, _ := slices.BinarySearchFunc(queue.waiting, created.rank+1, func(other *centralJob, after int64) int {
		return cmp.Compare(other.rank, after)
	})
	queue.waiting = slices.Insert(queue.waiting, position, created)
	queue.fill(job.At)
}

// rank returns the job's sort key in the queue. Jobs of equal rank are served in order of arrival.
func (queue *centralQueue) rank(job *tracer.Job) int64 {
	switch queue.order {
	case OrderFewestTasks:
		return int64(len(job.Tasks))
	case OrderLeastWork:
		return int64(job.TotalRunTime())
	default:
		return 0
	}
}

// runUntil ends the tasks that are due by the moment and fills the slots that they free.
func (queue *centralQueue) runUntil(moment identifier.Moment) {
	for len(queue.ends) > 0 && queue.ends[0].at <= moment {
		ended := heap.Pop(&queue.ends).(taskEnd)
		queue.free[ended.domain]++
		ended.job.running--
		if ended.job.running == 0 && len(ended.job.queued) == 0 {
			queue.complete(ended.job, ended.at)
		}
		queue.fill(ended.at)
	}
}

func (queue *centralQueue) complete(done *centralJob, at identifier.Moment) {
	ideal := IdealResponse(done.job, queue.deployment)
	network := ideal - done.job.LongestRunTime()
	queue.ratios = append(queue.ratios, float64(at.Sub(done.job.At)+network)/float64(ideal))
}

// fill starts queued tasks, in the queue's order, in free slots of their allowed domains.
func (queue *centralQueue) fill(now identifier.Moment) {
	for _, waiting := range queue.waiting {
		if queue.full() {
			break
		}
		for _, domain := range waiting.domains {
			for queue.free[domain] > 0 && len(waiting.queued) > 0 {
				queue.free[domain]--
				heap.Push(&queue.ends, taskEnd{at: now.Add(waiting.queued[0]), job: waiting, domain: domain})
				waiting.queued = waiting.queued[1:]
				waiting.running++
			}
		}
	}
	queue.waiting = slices.DeleteFunc(queue.waiting, func(job *centralJob) bool { return len(job.queued) == 0 })
}

func (queue *centralQueue) full() bool {
	for _, domain := range queue.deployment.FailureDomains {
		if queue.free[domain] > 0 {
			return false
		}
	}
	return true
}

// endHeap is a heap of running tasks, ordered by their end.
type endHeap []taskEnd

func (ends endHeap) Len() int                    { return len(ends) }
func (ends endHeap) Less(first, second int) bool { return ends[first].at < ends[second].at }
func (ends endHeap) Swap(first, second int)      { ends[first], ends[second] = ends[second], ends[first] }

// Push appends a task for container/heap.
func (ends *endHeap) Push(added any) { *ends = append(*ends, added.(taskEnd)) }

// Pop removes the last task for container/heap.
func (ends *endHeap) Pop() any {
	last := len(*ends) - 1
	popped := (*ends)[last]
	*ends = (*ends)[:last]
	return popped
}
