package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// bucketWidth is the resolution of a backlog.
	bucketWidth = 16 * time.Millisecond
	// bucketCount buckets cover about the next four seconds.
	bucketCount = 256
)

// bucketNumber is a moment divided by bucketWidth.
type bucketNumber int64

func bucketOf(moment identifier.Moment) bucketNumber {
	return bucketNumber(moment / identifier.Moment(bucketWidth))
}

// backlog sums the queued work by the time at which the jobs are due, so that admission
// control can determine how much work is ahead of a job.
type backlog struct {
	first bucketNumber
	// overdue is the work that was due before the first bucket.
	overdue time.Duration
	work    [bucketCount]time.Duration
	total   time.Duration
}

// backlogs holds separate backlogs for urgent and other jobs.
type backlogs struct {
	urgent    backlog
	nonUrgent backlog
}

func (backlogs *backlogs) of(urgent bool) *backlog {
	if urgent {
		return &backlogs.urgent
	}
	return &backlogs.nonUrgent
}

func (backlogs *backlogs) total() time.Duration {
	return backlogs.urgent.total + backlogs.nonUrgent.total
}

// advance moves the first bucket to now and counts the work of earlier ones as overdue.
func (backlog *backlog) advance(now identifier.Moment) {
	first := bucketOf(now)
	if backlog.total == 0 {
		backlog.first = max(first, backlog.first)
		return
	}
	for ; backlog.first < first; backlog.first++ {
		bucket := &backlog.work[backlog.first%bucketCount]
		backlog.overdue += *bucket
		*bucket = 0
		if backlog.overdue == backlog.total {
			backlog.first = first
			return
		}
	}
}

// bucketFor returns the bucket of the work that is due at key. The last bucket also holds
// the work that is due later.
func (backlog *backlog) bucketFor(key identifier.Moment) bucketNumber {
	return min(bucketOf(key), backlog.first+bucketCount-1)
}

// add adds work to a bucket. Negative work is removed from it.
func (backlog *backlog) add(number bucketNumber, work time.Duration) {
	backlog.total += work
	if number < backlog.first {
		backlog.overdue += work
		return
	}
	backlog.work[number%bucketCount] += work
}

// workUntil returns the work due up to the bucket of key, inclusive.
func (backlog *backlog) workUntil(key identifier.Moment) time.Duration {
	sum := backlog.overdue
	last := backlog.bucketFor(key)
	for number := backlog.first; number <= last && sum < backlog.total; number++ {
		sum += backlog.work[number%bucketCount]
	}
	return sum
}

// delaysLaterJobs reports whether jobs that are due after key would start too late on
// capacity slots, when the jobs due until key take the slot time before.
func (backlog *backlog) delaysLaterJobs(now, key identifier.Moment, before time.Duration, capacity float64) bool {
	later := backlog.total - backlog.workUntil(key)
	// Work that was due before the first bucket, possibly even before the zero of this
	// host's clock, is overdue and already counted by workUntil.
	for number := max(backlog.bucketFor(key)+1, backlog.first); later > 0 && number < backlog.first+bucketCount; number++ {
		work := backlog.work[number%bucketCount]
		if work == 0 {
			continue
		}
		due := identifier.Moment(number+1) * identifier.Moment(bucketWidth)
		if float64(before) > capacity*float64(due.Sub(now)) {
			return true
		}
		before += work
		later -= work
	}
	return false
}
