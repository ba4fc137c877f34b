package limiter

import "github.com/stoathitch/stoathitch/pkg/identifier"

func (limiter *Limiter) prepare(now identifier.Moment) {
	if limiter.teams != nil {
		return
	}
	limiter.teams = make(map[identifier.TeamID]*account)
	rate := limiter.Settings.DomainRetryRate
	limiter.domain = newBucket(now, rate, rate*limiter.Settings.RetryWindow.Seconds())
	limiter.shared = limiter.newAccount(now)
}

// account returns the account of a team. Callers name teams freely, so teams
// without limits of their own are bounded; idle ones make room first.
func (limiter *Limiter) account(now identifier.Moment, team identifier.TeamID) *account {
	limiter.prepare(now)
	if found := limiter.teams[team]; found != nil {
		return found
	}
	if limiter.unknown >= limiter.Settings.MaxUnknownTeams {
		limiter.dropIdle(now)
	}
	if limiter.unknown >= limiter.Settings.MaxUnknownTeams {
		return limiter.shared
	}
	created := limiter.newAccount(now)
	limiter.teams[team] = created
	limiter.unknown++
	return created
}

// dropIdle forgets the unknown teams that have nothing in flight and full
// buckets: a new account would be the same. All of them go, so the order in
// which the map is visited decides nothing.
func (limiter *Limiter) dropIdle(now identifier.Moment) {
	for team, account := range limiter.teams {
		if account.configured || account.inFlight > 0 {
			continue
		}
		if account.rate.full(now) && account.retries.full(now) {
			delete(limiter.teams, team)
			limiter.unknown--
		}
	}
}

func (limiter *Limiter) newAccount(now identifier.Moment) *account {
	created := &account{}
	rate := limiter.Settings.TeamRetryRate
	created.retries = newBucket(now, rate, rate*limiter.Settings.RetryWindow.Seconds())
	limiter.apply(now, created, limiter.Settings.Default)
	return created
}

// apply sets limits. A rate that stays the same keeps its savings and debts.
func (limiter *Limiter) apply(now identifier.Moment, account *account, limits TeamLimits) {
	if account.limits.TasksPerSecond != limits.TasksPerSecond {
		burst := max(limits.TasksPerSecond*limiter.Settings.RateWindow.Seconds(), 1)
		account.rate = newBucket(now, limits.TasksPerSecond, burst)
	}
	account.limits = limits
}
