package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

type (
	queue = queuer.Queue[int, queuer.Order]
	entry = queuer.Entry[int]
)

func newQueue(tolerance time.Duration) *queue {
	settings := queuer.DefaultSettings()
	settings.Tolerance = tolerance
	return &queue{Settings: settings, Order: queuer.NarrowFirst{Slack: 100 * time.Millisecond, Stretch: 4}}
}

func teamName(number int) identifier.TeamID { return identifier.TeamID(fmt.Sprintf("team-%d", number)) }

// oracle is a reference model of the queue in plain maps and slices.
type oracle struct {
	queue   *queue
	now     identifier.Moment
	entries []*entry
	waiting map[*entry]int
	order   map[*entry]int
	paused  map[identifier.TeamID]bool
	pushed  int
}

func (oracle *oracle) eligible(entry *entry) bool {
	return oracle.waiting[entry] > 0 && !oracle.paused[entry.Team]
}

// check compares the sums, and checks that the next job is the first of its team.
func (oracle *oracle) check(t *rapid.T) {
	tasks, work, eligible := 0, time.Duration(0), 0
	for _, entry := range oracle.entries {
		tasks += oracle.waiting[entry]
		work += time.Duration(oracle.waiting[entry]) * entry.Cost
		if oracle.eligible(entry) {
			eligible++
		}
	}
	if oracle.queue.Tasks() != tasks || oracle.queue.Work() != work {
		t.Fatalf("queue holds %d tasks, %v; want %d, %v", oracle.queue.Tasks(), oracle.queue.Work(), tasks, work)
	}
	next := oracle.queue.Next()
	if (next == nil) != (eligible == 0) {
		t.Fatalf("next is %v with %d jobs that may start", next, eligible)
	}
	if next == nil {
		return
	}
	if !oracle.eligible(next) {
		t.Fatalf("job %d of %s was handed out, which has no task or a paused team", next.Payload, next.Team)
	}
	for _, other := range oracle.entries {
		if other.Team != next.Team || !oracle.eligible(other) {
			continue
		}
		if other.Due < next.Due || other.Due == next.Due && oracle.order[other] < oracle.order[next] {
			t.Fatalf("job %d was handed out before job %d of the same team", next.Payload, other.Payload)
		}
	}
}

func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oracle := &oracle{
			queue:   newQueue(time.Duration(rapid.IntRange(1, 1000).Draw(t, "tolerance")) * time.Millisecond),
			waiting: make(map[*entry]int),
			order:   make(map[*entry]int),
			paused:  make(map[identifier.TeamID]bool),
		}
		oracle.queue.Settings.MaxIdleTeams = 2
		t.Repeat(map[string]func(*rapid.T){
			"":       oracle.check,
			"arrive": oracle.arrive,
			"return": oracle.requeue,
			"serve":  oracle.serve,
			"remove": oracle.remove,
			"pause":  oracle.pause,
		})
	})
}

func (oracle *oracle) arrive(t *rapid.T) {
	oracle.now = oracle.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "later")) * time.Millisecond)
	cost := time.Duration(rapid.IntRange(1, 2000).Draw(t, "cost")) * time.Millisecond
	created := &entry{
		Payload:     len(oracle.entries),
		Team:        teamName(rapid.IntRange(0, 5).Draw(t, "team")),
		Cost:        cost,
		Due:         oracle.queue.Order.Due(queuer.Shape{ArrivedAt: oracle.now, Deadline: identifier.Never, Ideal: cost}),
		ClassWeight: rapid.IntRange(0, 3).Draw(t, "class-weight"),
	}
	oracle.entries = append(oracle.entries, created)
	oracle.push(created, rapid.IntRange(1, 20).Draw(t, "tasks"), rapid.IntRange(1, 4).Draw(t, "weight"))
}

func (oracle *oracle) push(entry *entry, tasks, weight int) {
	if oracle.waiting[entry] == 0 {
		oracle.pushed++
		oracle.order[entry] = oracle.pushed
	}
	oracle.waiting[entry] += tasks
	oracle.queue.Push(oracle.now, entry, tasks, weight)
	oracle.queue.SetPaused(entry.Team, oracle.paused[entry.Team])
}

// requeue returns a served task to the queue, as after a refusal.
func (oracle *oracle) requeue(t *rapid.T) {
	if len(oracle.entries) > 0 {
		oracle.push(rapid.SampledFrom(oracle.entries).Draw(t, "job"), 1, 1)
	}
}

func (oracle *oracle) serve(t *rapid.T) {
	next := oracle.queue.Next()
	if next == nil {
		t.Skip("nothing may start")
	}
	oracle.waiting[next]--
	oracle.queue.Serve(oracle.now, next)
	difference := time.Duration(rapid.IntRange(-100, 100).Draw(t, "difference")) * time.Millisecond
	oracle.queue.AdjustCharge(next.Team, difference, next.ClassWeight)
}

func (oracle *oracle) remove(t *rapid.T) {
	if len(oracle.entries) > 0 {
		removed := rapid.SampledFrom(oracle.entries).Draw(t, "job")
		oracle.waiting[removed] = 0
		oracle.queue.Remove(removed)
	}
}

func (oracle *oracle) pause(t *rapid.T) {
	team := teamName(rapid.IntRange(0, 5).Draw(t, "team"))
	oracle.paused[team] = !oracle.paused[team]
	oracle.queue.SetPaused(team, oracle.paused[team])
}

// TestFairSharesWhileBacklogged guards against one team waiting while another with more
// or larger tasks gets the slots. All teams have queued work all the time and jobs of any
// size arrive. The bound of start-time fair queueing must hold: the weighted slot times
// of two such teams differ by at most the tolerance and one task of each.
func TestFairSharesWhileBacklogged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := time.Duration(rapid.IntRange(1, 500).Draw(t, "tolerance")) * time.Millisecond
		queue := newQueue(tolerance)
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		weights := make([]int, teams)
		served := make([]float64, teams)
		now := identifier.Moment(0)
		longest := time.Second
		arrive := func(team int) {
			cost := time.Duration(rapid.IntRange(1, 1000).Draw(t, "cost")) * time.Millisecond
			due := queue.Order.Due(queuer.Shape{ArrivedAt: now, Deadline: identifier.Never, Ideal: cost})
			added := &entry{Payload: team, Team: teamName(team), Cost: cost, Due: due}
			queue.Push(now, added, rapid.IntRange(1, 30).Draw(t, "tasks"), weights[team])
		}
		for team := range teams {
			weights[team] = rapid.IntRange(1, 4).Draw(t, "weight")
			arrive(team)
		}
		for range 300 {
			now = now.Add(time.Millisecond)
			for team := range teams {
				for queue.TeamTasks(teamName(team)) < 2 {
					arrive(team)
				}
			}
			next := queue.Next()
			served[next.Payload] += float64(next.Cost) / float64(weights[next.Payload])
			queue.Serve(now, next)
			for first := range teams {
				for second := range teams {
					bound := float64(tolerance) + float64(longest)/float64(weights[first]) + float64(longest)/float64(weights[second])
					if served[first]-served[second] > bound {
						t.Fatalf("team %d is %v ahead of team %d, bound %v", first,
							time.Duration(served[first]-served[second]), second, time.Duration(bound))
					}
				}
			}
		}
	})
}
