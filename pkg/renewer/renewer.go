// Package renewer computes how long the leases of runs may be, and when a lease has lapsed by any
// clock that a backend server may have.
//
// A run ends with its lease unless the lead of its cell renews it. That is the only thing that ends
// the runs of a failure domain whose hosts are all lost.
package renewer

import "time"

const (
	// ClockDriftPerMille is how slow a backend server's clock may be, in thousandths.
	ClockDriftPerMille = 20
	// LapseMargin covers the rounding of clocks to milliseconds and the time that a server takes to
	// end a run that has lapsed.
	LapseMargin = 60 * time.Millisecond
	// DefaultLease is the lease where it is unknown when callers resubmit.
	DefaultLease = time.Second
	// lossDetectionTime is how long a lead may go on renewing the runs of a host that is lost.
	lossDetectionTime = 200 * time.Millisecond
	// minLease leaves time for a second renewal if the answer to the first one is lost.
	minLease = 300 * time.Millisecond
)

// Bounds are the limits that a deployment sets for the leases of runs.
type Bounds struct {
	// MaxLease is the longest lease that backend servers accept.
	MaxLease time.Duration
	// ResubmitDelay is how long callers wait at least before they resubmit a job whose connection
	// broke; zero means that it is unknown.
	ResubmitDelay time.Duration
}

// Lease returns the longest lease whose runs are over before callers resubmit the jobs of lost
// hosts, but at least minLease if the servers accept that.
//
// A resubmitted job may come to a failure domain in which nobody knows of its runs. A run that
// outlasts ResubmitDelay there would go on beside the next run of its task.
func (bounds Bounds) Lease() time.Duration {
	if bounds.ResubmitDelay <= 0 {
		return min(bounds.MaxLease, DefaultLease)
	}
	return min(bounds.MaxLease, max(bounds.longestSafeLease(), minLease))
}

// IsSafe reports whether the runs of lost hosts are over before callers resubmit their jobs.
func (bounds Bounds) IsSafe() bool {
	return bounds.ResubmitDelay > 0 && bounds.Lease() <= bounds.longestSafeLease()
}

// longestSafeLease returns the longest lease that has lapsed within ResubmitDelay after a loss, by a
// slow clock, if it is renewed until lossDetectionTime after that loss. It may be negative.
func (bounds Bounds) longestSafeLease() time.Duration {
	longest := bounds.ResubmitDelay - lossDetectionTime - LapseMargin
	return (longest * (1000 - ClockDriftPerMille) / 1000).Truncate(time.Millisecond)
}

// LapseTime returns how long after its last renewal a run may go on at most.
func LapseTime(lease time.Duration) time.Duration {
	return lease*1000/(1000-ClockDriftPerMille) + LapseMargin
}
