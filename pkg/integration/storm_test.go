package integration_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Timing of a storm.
const (
	stormPause     = 200 * time.Millisecond
	stormSettle    = 4 * time.Second
	shortStop      = 6 * time.Second
	longStop       = time.Minute
	stormCallers   = 12
	stormAnswerFor = 2 * time.Minute
	// stormAtOnce bounds the processes that are injured at a time; one that is
	// stopped for a minute is not counted.
	stormAtOnce = 2
)

// TestStorm. Symptom: any promise is broken when several faults meet (rows 1 to 5,
// 8, 10, 11, 17 to 20 and 22). Sequence: for -minutes, processes are killed,
// stopped for six seconds or a minute, and shut down, two at a time, in an order
// that -seed gives, and started again on their data folders, while jobs, resends,
// resubmissions and changes of the configuration go on. Cause guarded against:
// what no scenario thought of.
//
// Of the three hosts of a failure domain, at most two are injured within the time
// that new copies take: after the loss of all three nobody is left who knows a
// submission, and a resend can't be told from a new one.
func TestStorm(t *testing.T) {
	if !*longFlag {
		t.Skip("only with -long")
	}
	cluster := startCluster(t)
	watcher := startWatcher(cluster)
	storm := &storm{cluster: cluster, oracle: &oracle{}, random: rand.New(rand.NewPCG(*seedFlag, 0))}
	group := storm.startWork(t)
	deadline := time.Now().Add(time.Duration(*minutesFlag * float64(time.Minute)))
	for time.Now().Before(deadline) {
		storm.injure(t)
	}
	storm.ended.Wait()
	cluster.heal(t)
	storm.stop.Store(true)
	group.Wait()
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	storm.oracle.judge(t, record)
	storm.operator.judge(t)
	watcher.judge(t)
	t.Logf("seed %d: %d injuries, %d jobs, %d without an answer, %d changes accepted, %s", *seedFlag,
		storm.injuries, storm.jobs.Load(), storm.unanswered.Load(), len(storm.operator.acknowledged), storm.oracle.summary(record))
	if storm.unanswered.Load() > 0 {
		t.Errorf("%d jobs had no final answer within %s", storm.unanswered.Load(), stormAnswerFor)
	}
}

// storm injures processes while work goes on.
type storm struct {
	cluster  *cluster
	oracle   *oracle
	operator *operator
	random   *rand.Rand

	injuries   int
	jobs       atomic.Int64
	unanswered atomic.Int64
	stop       atomic.Bool
	ended      sync.WaitGroup
	mutex      sync.Mutex
	// busy holds the injured processes; recent counts, by place, those that are
	// injured or have just been.
	busy      map[*process]bool
	recent    map[string]int
	longStops int
}

func (storm *storm) startWork(t *testing.T) *sync.WaitGroup {
	storm.busy = make(map[*process]bool)
	storm.recent = make(map[string]int)
	storm.operator = &operator{name: "storm", cluster: storm.cluster}
	group := &sync.WaitGroup{}
	for number := range stormCallers {
		worker := &caller{cluster: storm.cluster, oracle: storm.oracle, random: rand.New(rand.NewPCG(*seedFlag, uint64(1+number)))}
		group.Go(func() {
			for round := 0; !storm.stop.Load(); round++ {
				storm.runJob(t, worker, fmt.Sprintf("storm-%d-%d", number, round))
			}
		})
	}
	group.Go(func() {
		for host := 0; !storm.stop.Load(); host++ {
			storm.operator.change(host, patience)
			time.Sleep(stormPause)
		}
	})
	return group
}

// runJob runs one job and, some, again under another id by another caller at the
// same time.
func (storm *storm) runJob(t *testing.T, worker *caller, name string) {
	runTime := time.Duration(50+worker.random.IntN(400)) * time.Millisecond
	job := newJob(name, 1+worker.random.IntN(5), runTime, worker.random.IntN(2) == 0)
	if worker.random.IntN(3) > 0 {
		job.FailureDomain = failureDomains()[worker.random.IntN(3)]
	}
	var group sync.WaitGroup
	if !job.Repeatable && worker.random.IntN(2) == 0 {
		other := &caller{cluster: storm.cluster, oracle: storm.oracle, random: rand.New(rand.NewPCG(worker.random.Uint64(), 0))}
		group.Go(func() { storm.finish(t, other, job.resubmission("-again")) })
	}
	storm.finish(t, worker, job)
	group.Wait()
	worker.resend(job)
}

func (storm *storm) finish(t *testing.T, worker *caller, job *job) {
	storm.jobs.Add(1)
	if worker.finish(job, stormAnswerFor) == nil {
		storm.unanswered.Add(1)
		t.Logf("%s %s has no answer", time.Now().Format(time.TimeOnly), job.Submission)
	}
}

// injure injures one process and, half the time, a second one with it.
func (storm *storm) injure(t *testing.T) {
	count := 1 + storm.random.IntN(2)
	for range count {
		storm.injureOne(t)
	}
	pause := stormPause + time.Duration(storm.random.IntN(1500))*time.Millisecond
	time.Sleep(pause)
}

func (storm *storm) injureOne(t *testing.T) {
	position := storm.random.IntN(len(storm.cluster.daemons) + len(storm.cluster.standIns))
	kind := storm.random.IntN(10)
	if position >= len(storm.cluster.daemons) {
		server := storm.cluster.standIns[position-len(storm.cluster.daemons)]
		storm.begin(t, &server.process, string(server.failureDomain)+"-servers", kind)
		return
	}
	daemon := storm.cluster.daemons[position]
	storm.begin(t, &daemon.process, string(daemon.settings.FailureDomain), kind)
}

// kindLongStop is the kind of injury that takes a minute; one at a time is enough.
const kindLongStop = 9

// begin injures a process, unless enough are injured already, at all or in its
// place.
func (storm *storm) begin(t *testing.T, victim *process, place string, kind int) {
	storm.mutex.Lock()
	defer storm.mutex.Unlock()
	if len(storm.busy)-storm.longStops >= stormAtOnce || storm.busy[victim] || storm.recent[place] >= stormAtOnce {
		return
	}
	if kind == kindLongStop && storm.longStops > 0 {
		return
	}
	storm.injuries++
	storm.busy[victim] = true
	if kind == kindLongStop {
		storm.longStops++
	}
	storm.recent[place]++
	storm.ended.Go(func() {
		t.Logf("%s %s: %s", time.Now().Format("15:04:05.000"), victim.name, carryOut(t, victim, kind))
		storm.recover(victim, kind)
		time.Sleep(stormSettle)
		storm.mutex.Lock()
		defer storm.mutex.Unlock()
		storm.recent[place]--
	})
}

func (storm *storm) recover(victim *process, kind int) {
	storm.mutex.Lock()
	defer storm.mutex.Unlock()
	delete(storm.busy, victim)
	if kind == kindLongStop {
		storm.longStops--
	}
}

// carryOut injures a process, heals it, and tells what was done.
func carryOut(t *testing.T, victim *process, kind int) string {
	switch {
	case kind < 5:
		victim.kill()
		time.Sleep(time.Duration(kind) * time.Second)
		victim.start(t)
		return fmt.Sprintf("killed for %d s", kind)
	case kind < 7:
		victim.signal(syscall.SIGTERM)
		victim.wait()
		victim.start(t)
		return "shut down and started"
	case kind < 9:
		victim.signal(syscall.SIGSTOP)
		time.Sleep(shortStop)
		victim.signal(syscall.SIGCONT)
		return "stopped for " + shortStop.String()
	default:
		victim.signal(syscall.SIGSTOP)
		time.Sleep(longStop)
		victim.signal(syscall.SIGCONT)
		return "stopped for " + longStop.String()
	}
}
