// Package limiter keeps the quotas of teams: the rate of task starts, the tasks
// in flight, and the budgets for repeated starts of each team and of the failure
// domain. It is pure; callers pass the moment in.
//
// A repeated start is one that follows a refusal by a backend server. Without a
// budget, backend servers that refuse everything would make every lead send each
// task again and again, and the repeats would crowd out first starts. It would
// show as wasted messages that grow with the load.
package limiter

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TeamLimits are the quotas of one team. A limit of 0 means no limit.
type TeamLimits struct {
	Team identifier.TeamID
	// TasksPerSecond is the rate of task starts that the team may keep up.
	TasksPerSecond float64
	// TasksInFlight is the largest number of the team's tasks that run at once.
	TasksInFlight int
	// Weight is the team's share when slots are tight, relative to other teams;
	// below 1 counts as 1.
	Weight int
}

// Settings bounds what the limiter holds and how many starts may be repeated.
type Settings struct {
	// Default holds for teams that have no limits of their own.
	Default TeamLimits
	// MaxUnknownTeams bounds the teams without limits of their own that are
	// counted one by one; those beyond it share one count.
	MaxUnknownTeams int
	// RateWindow is how much of its rate a team may save up for a burst.
	RateWindow time.Duration
	// RetryRatio is the share of starts that may be repeated.
	RetryRatio float64
	// TeamRetryRate and DomainRetryRate are repeats each second that are allowed
	// beyond the ratio, so that little traffic can be repeated too.
	TeamRetryRate   float64
	DomainRetryRate float64
	// RetryWindow is how many repeats may be saved up, in seconds of the rates.
	RetryWindow time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Default:         TeamLimits{Weight: 1},
		MaxUnknownTeams: 2048,
		RateWindow:      time.Second,
		RetryRatio:      0.1,
		TeamRetryRate:   5,
		DomainRetryRate: 50,
		RetryWindow:     2 * time.Second,
	}
}

// Limiter counts what teams use. Set Settings before use.
type Limiter struct {
	Settings Settings

	teams   map[identifier.TeamID]*account
	unknown int
	// shared is the account of the unknown teams beyond MaxUnknownTeams.
	shared *account
	domain bucket
}

// account is what one team has used.
type account struct {
	limits     TeamLimits
	configured bool
	inFlight   int
	rate       bucket
	retries    bucket
}

// Configure replaces the limits of teams; those not named fall back to the
// default. What the teams have used stays counted.
func (limiter *Limiter) Configure(now identifier.Moment, teams []TeamLimits) {
	limiter.prepare(now)
	named := make(map[identifier.TeamID]bool, len(teams))
	for _, limits := range teams {
		named[limits.Team] = true
		account := limiter.teams[limits.Team]
		if account == nil {
			account = limiter.newAccount(now)
			limiter.teams[limits.Team] = account
		} else if !account.configured {
			limiter.unknown--
		}
		account.configured = true
		limiter.apply(now, account, limits)
	}
	for team, account := range limiter.teams {
		if account.configured && !named[team] {
			account.configured = false
			limiter.unknown++
			limiter.apply(now, account, limiter.Settings.Default)
		}
	}
}

// Admit charges a job of so many tasks to the team's rate. When the team is over
// its rate nothing is charged, and the time until it is worth trying again is
// returned. A job larger than what can be saved up is admitted once the savings
// are full, and leaves the team in debt.
func (limiter *Limiter) Admit(now identifier.Moment, team identifier.TeamID, tasks int) (time.Duration, bool) {
	account := limiter.account(now, team)
	if account.limits.TasksPerSecond <= 0 {
		return 0, true
	}
	needed := min(float64(tasks), account.rate.capacity)
	if wait := account.rate.until(now, needed); wait > 0 {
		return wait, false
	}
	account.rate.take(now, float64(tasks))
	return 0, true
}

// Start counts a task in flight and tells whether the team may start more. Only
// fresh starts, not repeated ones, add to the budgets for repeats.
func (limiter *Limiter) Start(now identifier.Moment, team identifier.TeamID, fresh bool) bool {
	account := limiter.account(now, team)
	account.inFlight++
	if !fresh {
		return account.mayStart()
	}
	account.retries.add(now, limiter.Settings.RetryRatio)
	limiter.domain.add(now, limiter.Settings.RetryRatio)
	return account.mayStart()
}

// End takes a task out of flight and tells whether the team may start more.
func (limiter *Limiter) End(now identifier.Moment, team identifier.TeamID) bool {
	account := limiter.account(now, team)
	if account.inFlight == 0 {
		// The task was counted while the team had no account of its own.
		account = limiter.shared
	}
	account.inFlight = max(account.inFlight-1, 0)
	return account.mayStart()
}

// MayStart tells whether the team is below its tasks in flight.
func (limiter *Limiter) MayStart(now identifier.Moment, team identifier.TeamID) bool {
	return limiter.account(now, team).mayStart()
}

// InFlight returns how many tasks of the team run.
func (limiter *Limiter) InFlight(now identifier.Moment, team identifier.TeamID) int {
	return limiter.account(now, team).inFlight
}

// Limits returns the limits that hold for the team.
func (limiter *Limiter) Limits(now identifier.Moment, team identifier.TeamID) TeamLimits {
	return limiter.account(now, team).limits
}

// Weight returns the team's weight.
func (limiter *Limiter) Weight(now identifier.Moment, team identifier.TeamID) int {
	return max(limiter.account(now, team).limits.Weight, 1)
}

// Retry charges one repeated start to the budgets of the team and of the failure
// domain. When either is used up nothing is charged, and the time until both
// have room is returned.
func (limiter *Limiter) Retry(now identifier.Moment, team identifier.TeamID) (time.Duration, bool) {
	account := limiter.account(now, team)
	wait := max(account.retries.until(now, 1), limiter.domain.until(now, 1))
	if wait > 0 {
		return wait, false
	}
	account.retries.take(now, 1)
	limiter.domain.take(now, 1)
	return 0, true
}

func (account *account) mayStart() bool {
	return account.limits.TasksInFlight <= 0 || account.inFlight < account.limits.TasksInFlight
}
