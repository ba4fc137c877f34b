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

// message is a grant or heartbeat that the network delays, reorders, repeats or drops.
type message struct {
	worker int
	grant  *Grant
	// reading is that of the heartbeat that the message carries if grant is nil.
	reading HolderMoment
	tasks   map[identifier.TaskID]Number
	renew   bool
}

// Guards against two workers running the same task. A worker dies, is cut off or receives
// messages late, its lease expires and the task is leased to another worker, and then an
// old grant or renewal arrives. The fault would be to count a lease from the arrival of a
// message, or to renew it after its end.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 3
		granter := &Granter{Epoch: 1, Length: testLength}
		holders := make([]*Holder, workers)
		offsets := make([]identifier.Moment, workers)
		// Clock rates are in thousandths; the drift allowance of a tenth of a lease covers them.
		rates := make([]int64, workers)
		for position := range holders {
			holders[position] = &Holder{Drift: testDrift}
			offsets[position] = identifier.Moment(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
			rates[position] = rapid.Int64Range(960, 1040).Draw(t, "rate")
		}
		trueTime := identifier.Moment(0)
		localTime := func(worker int) identifier.Moment {
			return offsets[worker] + trueTime/1000*identifier.Moment(rates[worker])
		}
		name := func(worker int) identifier.WorkerID { return identifier.WorkerID(fmt.Sprint("w", worker)) }
		var messages []message
		task := identifier.TaskID("task")
		deliver := func(received message) {
			worker := received.worker
			if received.grant != nil && received.renew {
				_ = holders[worker].Renew(localTime(worker), *received.grant)
				return
			}
			if received.grant != nil {
				_ = holders[worker].Accept(localTime(worker), *received.grant)
				return
			}
			granter.Heartbeat(trueTime, name(worker), received.reading)
			for task, number := range received.tasks {
				grant, err := granter.Renew(trueTime, task, name(worker), number)
				if err == nil {
					messages = append(messages, message{worker: worker, grant: &grant, renew: true})
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
				messages = append(messages, message{worker: worker, reading: HolderMoment(localTime(worker)), tasks: tasks})
			},
			"grant": func(t *rapid.T) {
				worker := rapid.IntRange(0, workers-1).Draw(t, "worker")
				granter.Expire(trueTime)
				grant, err := granter.Grant(trueTime, task, name(worker))
				if err == nil {
					messages = append(messages, message{worker: worker, grant: &grant})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(messages) == 0 {
					return
				}
				position := rapid.IntRange(0, len(messages)-1).Draw(t, "flight")
				received := messages[position]
				if !rapid.Bool().Draw(t, "repeat") {
					messages = append(messages[:position], messages[position+1:]...)
				}
				deliver(received)
			},
			"die": func(t *rapid.T) {
				worker := rapid.IntRange(0, workers-1).Draw(t, "worker")
				holders[worker] = &Holder{Drift: testDrift, highestNumber: holders[worker].highestNumber}
				granter.ForgetWorker(name(worker))
			},
			"wait": func(t *rapid.T) {
				trueTime += identifier.Moment(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "wait"))
			},
			"": func(t *rapid.T) {
				running := 0
				for worker, holder := range holders {
					if holder.Valid(localTime(worker), task) {
						running++
						lease := granter.Get(task)
						if lease == nil || lease.FreeAt.Due(trueTime) {
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

// Guards against a task that continues after its lease has expired: a renewal that was
// sent in time arrives after the end of the lease and must not extend it.
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
