package queuer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// bucketWidth is the resolution of a backlog.
	bucketWidth = 16 * time.Millisecond
	// bucketCount buckets reach about four seconds ahead.
	bucketCount = 256
)

// bucketNumber numbers the buckets of all time.
type bucketNumber int64

func bucketOf(moment identifier.Moment) bucketNumber {
	return bucketNumber(moment / identifier.Moment(bucketWidth))
}

// backlog sums the queued work by the moments at which the jobs
// should start, so that admission can tell how much work stands before a job.
type backlog struct {
	first bucketNumber
	// overdue is the work that should have started before the first bucket.
	overdue time.Duration
	work    [bucketCount]time.Duration
	total   time.Duration
}

// backlogs are the backlogs of the two kinds of jobs.
type backlogs struct {
	urgent  backlog
	patient backlog
}

func (backlogs *backlogs) of(urgent bool) *backlog {
	if urgent {
		return &backlogs.urgent
	}
	return &backlogs.patient
}

func (backlogs *backlogs) total() time.Duration {
	return backlogs.urgent.total + backlogs.patient.total
}

// advance moves the first bucket to now.
func (backlog *backlog) advance(now identifier.Moment) {
	first := bucketOf(now)
	if backlog.total == 0 {
		backlog.first = max(first, backlog.first)
		return
	}
	for ; backlog.first < first; backlog.first++ {
		slot := &backlog.work[backlog.first%bucketCount]
		backlog.overdue += *slot
		*slot = 0
		if backlog.overdue == backlog.total {
			backlog.first = first
			return
		}
	}
}

// bucketFor returns the bucket that holds the work due at key; what is due after
// the last bucket is held there.
func (backlog *backlog) bucketFor(key identifier.Moment) bucketNumber {
	return min(bucketOf(key), backlog.first+bucketCount-1)
}

// add adds work to a bucket, or takes it away when negative.
func (backlog *backlog) add(number bucketNumber, work time.Duration) {
	backlog.total += work
	if number < backlog.first {
		backlog.overdue += work
		return
	}
	backlog.work[number%bucketCount] += work
}

// ahead returns the work due up to and with the bucket of key.
func (backlog *backlog) ahead(key identifier.Moment) time.Duration {
	sum := backlog.overdue
	last := backlog.bucketFor(key)
	for number := backlog.first; number <= last && sum < backlog.total; number++ {
		sum += backlog.work[number%bucketCount]
	}
	return sum
}

// crowded tells whether jobs that are due after key would start too late, at a
// capacity of so many slots, when so much work is done by the jobs due until key.
func (backlog *backlog) crowded(now, key identifier.Moment, before time.Duration, capacity float64) bool {
	later := backlog.total - backlog.ahead(key)
	// What was due before the first bucket, even before this host's clock began, is
	// overdue and counted ahead.
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
