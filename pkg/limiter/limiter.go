// Package limiter enforces the quotas of teams: the rate of task starts, the number of
// tasks in flight, and the retry budgets of each team and of the failure domain. It
// does no I/O and reads no clock; callers pass the current time.
//
// A retry is another start of a task after a backend server refused it. Without a
// retry budget, backend servers that refuse everything would make every lead resend
// each task endlessly, and the retries would crowd out first starts. The number of
// wasted messages would grow with the load.
package limiter

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TeamLimits are the quotas of one team. A rate or number of tasks of 0 means no limit.
type TeamLimits struct {
	Team identifier.TeamID
	// TasksPerSecond is the sustained rate of task starts.
	TasksPerSecond float64
	// TasksInFlight is the largest number of concurrently running tasks.
	TasksInFlight int
	// Weight is the team's share of contended slots relative to other teams. Values below
	// 1 count as 1.
	Weight int
}

// Settings configures the default limits, the retry budgets and the bounds of a limiter.
type Settings struct {
	// Default are the limits of teams that are not configured.
	Default TeamLimits
	// MaxUnconfiguredTeams bounds the teams that have an account of their own without
	// being configured. Further teams share one account.
	MaxUnconfiguredTeams int
	// RateWindow is the burst size: the tokens that the rate yields in this time.
	RateWindow time.Duration
	// RetryRatio is the number of retries allowed per first start.
	RetryRatio float64
	// TeamRetryRate and DomainRetryRate are the retries per second that are allowed in
	// addition to the ratio, so that tasks can be retried at low traffic too.
	TeamRetryRate   float64
	DomainRetryRate float64
	// RetryWindow is the capacity of the retry budgets: the retries that the rates yield
	// in this time.
	RetryWindow time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Default:              TeamLimits{Weight: 1},
		MaxUnconfiguredTeams: 2048,
		RateWindow:           time.Second,
		RetryRatio:           0.1,
		TeamRetryRate:        5,
		DomainRetryRate:      50,
		RetryWindow:          2 * time.Second,
	}
}

// Limiter tracks the resource use of teams. Set Settings before use.
type Limiter struct {
	Settings Settings

	teams             map[identifier.TeamID]*account
	unconfiguredTeams int
	// sharedAccount is the account of the teams beyond Settings.MaxUnconfiguredTeams.
	sharedAccount     *account
	domainRetryBucket bucket
}

// account tracks the use of one team.
type account struct {
	limits      TeamLimits
	configured  bool
	inFlight    int
	rateBucket  bucket
	retryBucket bucket
}

// Configure replaces the limits of all teams. Teams that are not listed fall back to
// the default limits. Tasks in flight remain counted.
func (limiter *Limiter) Configure(now identifier.Moment, teams []TeamLimits) {
	limiter.initialize(now)
	named := make(map[identifier.TeamID]bool, len(teams))
	for _, limits := range teams {
		named[limits.Team] = true
		account := limiter.teams[limits.Team]
		if account == nil {
			account = limiter.newAccount(now)
			limiter.teams[limits.Team] = account
		} else if !account.configured {
			limiter.unconfiguredTeams--
		}
		account.configured = true
		limiter.applyLimits(now, account, limits)
	}
	for team, account := range limiter.teams {
		if account.configured && !named[team] {
			account.configured = false
			limiter.unconfiguredTeams++
			limiter.applyLimits(now, account, limiter.Settings.Default)
		}
	}
}

// Admit charges a job with the given number of tasks to the team's rate. If the team
// exceeds its rate, nothing is charged and Admit returns the time after which a retry
// may succeed. A job larger than the burst size is admitted when the bucket is full, and
// leaves the team with negative tokens.
func (limiter *Limiter) Admit(now identifier.Moment, team identifier.TeamID, tasks int) (time.Duration, bool) {
	account := limiter.account(now, team)
	if account.limits.TasksPerSecond <= 0 {
		return 0, true
	}
	needed := min(float64(tasks), account.rateBucket.capacity)
	if wait := account.rateBucket.timeUntil(now, needed); wait > 0 {
		return wait, false
	}
	account.rateBucket.consume(now, float64(tasks))
	return 0, true
}

// Start counts a task in flight and reports whether the team may start more. Only first
// attempts, not retries, add to the retry budgets.
func (limiter *Limiter) Start(now identifier.Moment, team identifier.TeamID, firstAttempt bool) bool {
	account := limiter.account(now, team)
	account.inFlight++
	if !firstAttempt {
		return account.mayStart()
	}
	account.retryBucket.add(now, limiter.Settings.RetryRatio)
	limiter.domainRetryBucket.add(now, limiter.Settings.RetryRatio)
	return account.mayStart()
}

// End removes a task from those in flight and reports whether the team may start more.
func (limiter *Limiter) End(now identifier.Moment, team identifier.TeamID) bool {
	account := limiter.account(now, team)
	if account.inFlight == 0 {
		// The task was counted in the shared account, before the team got its own.
		account = limiter.sharedAccount
	}
	account.inFlight = max(account.inFlight-1, 0)
	return account.mayStart()
}

// MayStart reports whether the team is below its limit of tasks in flight.
func (limiter *Limiter) MayStart(now identifier.Moment, team identifier.TeamID) bool {
	return limiter.account(now, team).mayStart()
}

// InFlight returns the number of the team's tasks in flight. Teams without an account of
// their own share one count.
func (limiter *Limiter) InFlight(now identifier.Moment, team identifier.TeamID) int {
	return limiter.account(now, team).inFlight
}

// Limits returns the limits in effect for the team.
func (limiter *Limiter) Limits(now identifier.Moment, team identifier.TeamID) TeamLimits {
	return limiter.account(now, team).limits
}

// Weight returns the team's weight, which is at least 1.
func (limiter *Limiter) Weight(now identifier.Moment, team identifier.TeamID) int {
	return max(limiter.account(now, team).limits.Weight, 1)
}

// Retry charges one retry to the budgets of the team and of the failure domain. If
// either is exhausted, nothing is charged and Retry returns the time until both allow
// a retry.
func (limiter *Limiter) Retry(now identifier.Moment, team identifier.TeamID) (time.Duration, bool) {
	account := limiter.account(now, team)
	wait := max(account.retryBucket.timeUntil(now, 1), limiter.domainRetryBucket.timeUntil(now, 1))
	if wait > 0 {
		return wait, false
	}
	account.retryBucket.consume(now, 1)
	limiter.domainRetryBucket.consume(now, 1)
	return 0, true
}

func (account *account) mayStart() bool {
	return account.limits.TasksInFlight <= 0 || account.inFlight < account.limits.TasksInFlight
}
