package limiter

import "github.com/stoathitch/stoathitch/pkg/identifier"

func (limiter *Limiter) initialize(now identifier.Moment) {
	if limiter.teams != nil {
		return
	}
	limiter.teams = make(map[identifier.TeamID]*account)
	rate := limiter.Settings.DomainRetryRate
	limiter.domainRetryBucket = newBucket(now, rate, rate*limiter.Settings.RetryWindow.Seconds())
	limiter.sharedAccount = limiter.newAccount(now)
}

// account returns the account of a team. Callers may send any team name, so the number
// of accounts of unconfigured teams is bounded. At the bound idle accounts are dropped;
// if that isn't enough, the shared account is returned.
func (limiter *Limiter) account(now identifier.Moment, team identifier.TeamID) *account {
	limiter.initialize(now)
	if found := limiter.teams[team]; found != nil {
		return found
	}
	if limiter.unconfiguredTeams >= limiter.Settings.MaxUnconfiguredTeams {
		limiter.dropIdleTeams(now)
	}
	if limiter.unconfiguredTeams >= limiter.Settings.MaxUnconfiguredTeams {
		return limiter.sharedAccount
	}
	created := limiter.newAccount(now)
	limiter.teams[team] = created
	limiter.unconfiguredTeams++
	return created
}

// dropIdleTeams drops the accounts of unconfigured teams with no tasks in flight and full
// buckets; a new account would be identical. All of them are dropped, so that the
// iteration order of the map doesn't matter.
func (limiter *Limiter) dropIdleTeams(now identifier.Moment) {
	for team, account := range limiter.teams {
		if account.configured || account.inFlight > 0 {
			continue
		}
		if account.rateBucket.full(now) && account.retryBucket.full(now) {
			delete(limiter.teams, team)
			limiter.unconfiguredTeams--
		}
	}
}

func (limiter *Limiter) newAccount(now identifier.Moment) *account {
	created := &account{}
	rate := limiter.Settings.TeamRetryRate
	created.retryBucket = newBucket(now, rate, rate*limiter.Settings.RetryWindow.Seconds())
	limiter.applyLimits(now, created, limiter.Settings.Default)
	return created
}

// applyLimits sets the limits of an account. The rate bucket keeps its tokens, or its
// debt, if the rate is unchanged.
func (limiter *Limiter) applyLimits(now identifier.Moment, account *account, limits TeamLimits) {
	if account.limits.TasksPerSecond != limits.TasksPerSecond {
		burst := max(limits.TasksPerSecond*limiter.Settings.RateWindow.Seconds(), 1)
		account.rateBucket = newBucket(now, limits.TasksPerSecond, burst)
	}
	account.limits = limits
}
