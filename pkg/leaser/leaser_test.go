package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"pgregory.net/rapid"
)

const (
	testLength = 10 * time.Second
	testDrift  = time.Second
)

// flight is a message that the network delays, reorders, repeats or drops.
type flight struct {
	worker int
	grant  *Grant
	// beat is the heartbeat that the flight carries when there is no grant.
	beat  HolderMoment
	tasks map[identifier.TaskID]Number
	renew bool
}

// Symptom: two workers run the same task. Sequence: a worker dies, is cut off or
// gets its messages late, its lease is freed and granted to another worker, and
// then an old grant or renewal arrives. Cause: a lease counted from the arrival
// of a message, or renewed after it was over.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 3
		granter := &Granter{Epoch: 1, Length: testLength}
		holders := make([]*Holder, workers)
		offsets := make([]identifier.Moment, workers)
		// rates are thousandths; the allowance of a tenth of a lease covers them.
		rates := make([]int64, workers)
		for position := range holders {
			holders[position] = &Holder{Drift: testDrift}
			offsets[position] = identifier.Moment(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
			rates[position] = rapid.Int64Range(960, 1040).Draw(t, "rate")
		}
		real := identifier.Moment(0)
		local := func(worker int) identifier.Moment {
			return offsets[worker] + real/1000*identifier.Moment(rates[worker])
		}
		name := func(worker int) identifier.WorkerID { return identifier.WorkerID(fmt.Sprint("w", worker)) }
		var flights []flight
		task := identifier.TaskID("task")
		deliver := func(arrival flight) {
			worker := arrival.worker
			if arrival.grant != nil && arrival.renew {
				_ = holders[worker].Renew(local(worker), *arrival.grant)
				return
			}
			if arrival.grant != nil {
				_ = holders[worker].Accept(local(worker), *arrival.grant)
				return
			}
			granter.Heartbeat(real, name(worker), arrival.beat)
			for task, number := range arrival.tasks {
				grant, err := granter.Renew(real, task, name(worker), number)
				if err == nil {
					flights = append(flights, flight{worker: worker, grant: &grant, renew: true})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"beat": func(t *rapid.T) {
				worker := rapid.IntRange(0, workers-1).Draw(t, "worker")
				tasks := map[identifier.TaskID]Number{}
				if held := holders[worker].Get(task); held != nil {
					tasks[task] = held.Number
				}
				flights = append(flights, flight{worker: worker, beat: HolderMoment(local(worker)), tasks: tasks})
			},
			"grant": func(t *rapid.T) {
				worker := rapid.IntRange(0, workers-1).Draw(t, "worker")
				granter.Expire(real)
				grant, err := granter.Grant(real, task, name(worker))
				if err == nil {
					flights = append(flights, flight{worker: worker, grant: &grant})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(flights) == 0 {
					return
				}
				position := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				arrival := flights[position]
				if !rapid.Bool().Draw(t, "repeat") {
					flights = append(flights[:position], flights[position+1:]...)
				}
				deliver(arrival)
			},
			"die": func(t *rapid.T) {
				worker := rapid.IntRange(0, workers-1).Draw(t, "worker")
				holders[worker] = &Holder{Drift: testDrift, highest: holders[worker].highest}
				granter.Forget(name(worker))
			},
			"wait": func(t *rapid.T) {
				real += identifier.Moment(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "wait"))
			},
			"": func(t *rapid.T) {
				running := 0
				for worker, holder := range holders {
					if holder.Valid(local(worker), task) {
						running++
						lease := granter.Get(task)
						if lease == nil || lease.FreeAt.Due(real) {
							t.Fatalf("w%d runs the task after the granter freed it", worker)
						}
					}
				}
				if running > 1 {
					t.Fatalf("%d workers run the task", running)
				}
			},
		})
	})
}

// Symptom: a task goes on although its lease was over for a while. Sequence: the
// renewal is sent in time and arrives after the end. Cause: renewing in the past.
func TestLeaseThatRanOutStaysOver(t *testing.T) {
	granter := &Granter{Epoch: 1, Length: testLength}
	holder := &Holder{Drift: testDrift}
	granter.Heartbeat(0, "w0", 500)
	grant, err := granter.Grant(0, "task", "w0")
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Accept(600, grant); err != nil {
		t.Fatal(err)
	}
	granter.Heartbeat(identifier.Moment(8*time.Second), "w0", HolderMoment(8*time.Second))
	renewal, err := granter.Renew(identifier.Moment(8*time.Second), "task", "w0", grant.Number)
	if err != nil {
		t.Fatal(err)
	}
	late := identifier.Moment(9*time.Second) + 500
	if err := holder.Renew(late, renewal); err == nil {
		t.Fatal("the holder renewed a lease that was over")
	}
	over := identifier.Moment(18 * time.Second)
	granter.Heartbeat(over, "w0", HolderMoment(over))
	if _, err := granter.Renew(over, "task", "w0", grant.Number); err == nil {
		t.Fatal("the granter renewed a lease that was over")
	}
	if expired := granter.Expire(over); len(expired) != 1 {
		t.Fatalf("expired %v", expired)
	}
}
