package dispatcher_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	warmupEnd  = identifier.Moment(5 * time.Second)
	burstStart = identifier.Moment(30 * time.Second)
	burstEnd   = identifier.Moment(40 * time.Second)
	burstOver  = identifier.Moment(42 * time.Second)
	loadEnd    = identifier.Moment(90 * time.Second)
)

// runBurst has ten teams keep eight tenths of the slots busy for 90 s. For ten seconds the teams in
// burst send ten times as much as all slots can serve.
func runBurst(t *testing.T, burst []identifier.TeamID) *fake.Cell {
	cell := newCell()
	cell.Open()
	capacity := float64(testServers * testSlots)
	for number := range 10 {
		team := identifier.TeamID(string(rune('a' + number)))
		calm := &load{cell: cell, random: randomOf(number), team: team, slots: capacity * []float64{0.04, 0.12}[number%2], until: loadEnd}
		calm.declared = misdeclared(int(team[0]))
		calm.start()
	}
	cell.At(burstStart, func() {
		for number, team := range burst {
			flood := &load{cell: cell, random: randomOf(100 + number), team: team, slots: 10 * capacity / float64(len(burst)), until: burstEnd}
			flood.declared = misdeclared(int(team[0]))
			flood.sent = 1_000_000
			flood.start()
		}
	})
	cell.Run(loadEnd.Add(20 * time.Second))
	for _, violation := range cell.Violations {
		t.Error(violation)
	}
	for id, record := range cell.Records {
		if len(record.Answers) != 1 {
			t.Errorf("%s has %d answers", id, len(record.Answers))
		}
		if answer := record.Answer(); answer != nil && answer.NotRun && answer.RetryAfter <= 0 {
			t.Errorf("%s was refused without a time to retry after", id)
		}
	}
	return cell
}

// randomOf returns a separate random source for each load, so that a burst does not change the
// arrivals of the others.
func randomOf(number int) *rand.Rand { return rand.New(rand.NewPCG(7, uint64(number))) }

// misdeclared returns a function whose declared run time is three times too short or too long.
func misdeclared(number int) func(time.Duration) time.Duration {
	return func(actual time.Duration) time.Duration {
		if number%2 == 0 {
			return actual * 3
		}
		return actual / 3
	}
}

// checkBurst compares a run with a burst with a run in which the same jobs arrive except those of
// the burst.
func checkBurst(t *testing.T, burst []identifier.TeamID) *fake.Cell {
	without := runBurst(t, nil)
	with := runBurst(t, burst)
	calm := summarize(without, warmupEnd, loadEnd, nil)
	during := summarize(with, burstStart, burstEnd, nil)
	quiet := summarize(without, burstOver, loadEnd, nil)
	after := summarize(with, burstOver, loadEnd, nil)
	t.Logf("calm:            %v", calm)
	t.Logf("during:          %v", during)
	t.Logf("after:           %v", after)
	t.Logf("same, no burst:  %v", quiet)
	if limit := 2 * calm.percentile(0.99); during.percentile(0.99) > limit {
		t.Errorf("p99 of the jobs admitted in the burst is %.2f, limit %.2f", during.percentile(0.99), limit)
	}
	if limit := 1.1 * quiet.percentile(0.99); after.percentile(0.99) > limit {
		t.Errorf("p99 two seconds after the burst is %.2f, limit %.2f", after.percentile(0.99), limit)
	}
	if limit := quiet.refused + after.jobs/100; after.refused > limit {
		t.Errorf("%d of %d jobs were refused after the burst, limit %d", after.refused, after.jobs, limit)
	}
	return with
}

// TestBurstOfAllTeams guards against response times that grow with the length of a burst and stay
// high after it (row 12), because work is admitted that can't be served in time. All teams send ten
// times the capacity for ten seconds.
func TestBurstOfAllTeams(t *testing.T) {
	teams := []identifier.TeamID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	checkBurst(t, teams)
}

// TestBurstOfOneTeam guards against jobs of other teams that are refused or slow while one team
// floods, because queue capacity and slots go to the team that sends most. One team sends ten times
// the capacity for ten seconds.
func TestBurstOfOneTeam(t *testing.T) {
	flood := []identifier.TeamID{"flood"}
	cell := checkBurst(t, flood)
	others := summarize(cell, burstStart, burstEnd, func(record *fake.Record) bool {
		return slices.Contains([]identifier.TeamID{"a", "c", "e", "g", "i"}, record.Job.Team)
	})
	t.Logf("within their share: %v", others)
	if others.refused*50 > others.jobs {
		t.Errorf("%d of %d jobs of teams within their share were refused", others.refused, others.jobs)
	}
}
