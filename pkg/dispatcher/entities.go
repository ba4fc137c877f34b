package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// cell is a share of the failure domain's slots that this host leads.
type cell struct {
	number messenger.CellNumber
	epoch  identifier.Epoch
	// ready tells that the takeover is over and tasks may start.
	ready bool
	// deposed tells that a backend server follows another lead: nothing more is
	// started until the hosts have settled who leads.
	deposed bool
	// awaitedHosts and awaitedServers have not yet answered the takeover.
	awaitedHosts   map[identifier.HostID]bool
	awaitedServers map[identifier.BackendServerID]bool
	// takenAt is when the takeover began.
	takenAt identifier.Moment
	// vouchers are the hosts that have told which backend servers they have seen.
	vouchers map[identifier.HostID]voucher
	// takeoverAttempts counts how often hosts were asked.
	takeoverAttempts int
	// missingHosts could not be asked at the takeover.
	missingHosts map[identifier.HostID]bool
	// emptiedHosts have lost their memory before this lead had all of it, and live.
	emptiedHosts map[identifier.HostID]bool
	// awaitedDomains are the failure domains that were asked for this home's jobs and
	// have not answered; toldDomains are those that have.
	awaitedDomains map[identifier.FailureDomain]bool
	toldDomains    map[identifier.FailureDomain]bool
	// wantsAcknowledged tells that the backend servers were asked for what was acknowledged.
	wantsAcknowledged bool
	// guestQueries wait for their reports.
	guestQueries []*GuestsQueried
	// acknowledged are the submissions whose answers backend servers were told to forget,
	// as far as they were asked.
	acknowledged map[messenger.SubmissionDigest]bool
	// guestAttempts counts how often failure domains were asked.
	guestAttempts int
	// recovered lists the submissions that other hosts knew at the takeover.
	recovered map[identifier.SubmissionID]recoveredRecord
	// orphans are the tasks that backend servers reported for submissions whose
	// job has not been forwarded again yet.
	orphans map[identifier.SubmissionID]*orphan
	// queue holds the jobs with queued tasks.
	queue   *queuer.Queue[*job, queuer.Order]
	limiter *limiter.Limiter
	free    freeSlots
	// unplaced are jobs with tasks that some backend server may have which has not
	// reported yet.
	unplaced []*job
	// toldFree and toldAt are the free slots that were last told to the leads of
	// other failure domains, and when.
	toldFree identifier.Slots
	toldAt   identifier.Moment
	// slots are those of the usable servers; they are counted again when stale.
	slots         identifier.Slots
	capacityStale bool
	// emptySince is when the last usable server was lost.
	emptySince identifier.Moment
}

// holdersOfRecord is how many hosts know a submission before its first start.
const holdersOfRecord = 2

// mayMissRecords tells whether a submission may be known to missing hosts only.
// Then nobody here can say of any submission that it did not run.
func (cell *cell) mayMissRecords() bool {
	lost := len(cell.missingHosts)
	for host := range cell.emptiedHosts {
		if !cell.missingHosts[host] {
			lost++
		}
	}
	return lost >= holdersOfRecord
}

// recoveredRecord is what another host knew of a submission at the takeover.
type recoveredRecord struct {
	holder identifier.HostID
	record messenger.CopyRecord
	// knownSince is the record's moment on this host's clock, knownAfter one that is surely
	// not later.
	knownSince identifier.Moment
	knownAfter identifier.Moment
	keptUntil  identifier.Moment
}

// keptBySelf tells whether this host keeps the answer.
func (recovered recoveredRecord) keptBySelf(self identifier.HostID) bool {
	return recovered.holder == self && recovered.record.Answered && recovered.record.AnswerAt == ""
}

// orphan gathers what backend servers told of a submission's tasks.
type orphan struct {
	running map[identifier.TaskID]orphanTask
	answers map[identifier.TaskID]orphanAnswer
}

// orphanTask is where a task runs: in one process of a backend server.
type orphanTask struct {
	server      identifier.BackendServerID
	incarnation uint64
}

type orphanAnswer struct {
	server identifier.BackendServerID
	answer ServerAnswer
}

// server is a backend server as this host sees it.
type server struct {
	id          identifier.BackendServerID
	cell        messenger.CellNumber
	incarnation uint64
	rack        identifier.RackID
	slots       identifier.Slots
	// allowed is how many of the slots may be used, by the server's health.
	allowed identifier.Slots
	// others are the slots that other leads use; zero unless servers are shared.
	others    identifier.Slots
	slowness  float64
	connected bool
	// silent tells that heartbeats are missing although the stream is open.
	silent  bool
	leaving bool
	// fenced tells that the server has reported under the cell's epoch.
	fenced bool
	// askedAgain tells that a report was asked for again since it left out what was acknowledged.
	askedAgain bool
	// startedAt is when the server's process started, by its own account.
	startedAt identifier.Moment
	// leftAt is when the server first said that it is leaving, or Never.
	leftAt identifier.Moment
	// running holds the tasks that were started here and have not been resolved.
	running map[TaskKey]*task
	// refusedFull tells that the server refused for want of a slot; nothing more
	// is sent until it next answers or sends a heartbeat.
	refusedFull bool
	// evacuated tells that nothing is started in the server's failure domain.
	evacuated bool
}

// usable tells whether tasks may be started on the server now.
func (server *server) usable() bool {
	return server.serving() && !server.refusedFull
}

func (server *server) timer(kind timerKind) timerKey {
	return timerKey{kind: kind, server: server.id, cell: server.cell}
}

// job is a submission at the host that leads its cell.
type job struct {
	spec     *messenger.Job
	cell     messenger.CellNumber
	state    jobState
	deadline identifier.Moment
	// firstForwarded is when the job was first forwarded to any lead, on this
	// host's clock.
	firstForwarded identifier.Moment
	// forwardedAfter is surely not later than that: what others tell of it was under way.
	forwardedAfter identifier.Moment
	// again tells that an earlier lead may have started tasks of the job.
	again bool
	// claimed tells that the claim of a not-repeatable job is granted.
	claimed bool
	// releasable tells that nothing of the refused job has started or ever will here.
	releasable bool
	// claimHolder is the submission that holds the claim in place of this one.
	claimHolder identifier.SubmissionID
	// askers look the submission up.
	askers []asker
	// holders are the hosts that wait for the answer.
	holders []identifier.HostID
	tasks   []task
	// byID finds tasks; it points into tasks.
	byID map[identifier.TaskID]*task
	// startOrder numbers the tasks in the order in which they start; nil is as
	// they came.
	startOrder []int
	nextQueued int
	entry      queuer.Entry[*job]
	measured   measure
	unresolved int
	answer     *messenger.JobAnswer
	// answerHeld tells that a second host holds the answer.
	answerHeld bool
	// finishedAt is when the job got its answer.
	finishedAt identifier.Moment
	// spilledTo is the failure domain that the job is handed over to, spillMode
	// what its lead may do; after spillUnknownUntil the job fails, because that lead
	// is out of reach.
	spilledTo         identifier.FailureDomain
	spillMode         messenger.SpillMode
	spillUnknownUntil identifier.Moment
	// guestOf is the lead of the job's home in another failure domain; empty for
	// jobs that are at home here.
	guestOf identifier.HostID
	// failure is why the job failed while its cell's takeover was under way; it
	// is told once the takeover has shown that there is no answer yet.
	failure *failure
}

// failure is why a job can't be complete any more.
type failure struct {
	reason messenger.Reason
	detail string
}

// task is one task of a job.
type task struct {
	job    *job
	spec   *messenger.Task
	state  taskState
	server identifier.BackendServerID
	// unknownUntil is when an unknown task fails its job.
	unknownUntil identifier.Moment
	result       []byte
	// runTime is how long the backend server ran the task.
	runTime time.Duration
	// refusals counts the starts that are known not to have happened.
	refusals int
	// inFlight tells that the task counts for its team's tasks in flight.
	inFlight bool
}

func (task *task) key() TaskKey {
	return TaskKey{Submission: task.job.spec.Submission, Task: task.spec.Task}
}

func (job *job) timer(kind timerKind) timerKey {
	return timerKey{kind: kind, submission: job.spec.Submission}
}

// timerKind tells which deadline a timer stands for.
type timerKind int

const (
	timerJobDeadline timerKind = iota
	timerUnknownWait
	timerForget
	timerServerSilence
	timerServerForget
	timerTakeover
	timerRetry
	timerNoServer
	timerSpill
	timerLoad
	// timerConfirm asks again for the second holder of an answer.
	timerConfirm
	// timerRelease gives a claim back.
	timerRelease
	// timerSweep forgets recovered records whose retention is over.
	timerSweep
	// timerEmptied ends the doubt because of hosts that have lost their memory.
	timerEmptied
)

// timerKey names one deadline.
type timerKey struct {
	kind       timerKind
	submission identifier.SubmissionID
	server     identifier.BackendServerID
	cell       messenger.CellNumber
}
