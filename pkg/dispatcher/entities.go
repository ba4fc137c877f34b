package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// cell is the share of the failure domain's slots and submissions that this host leads.
type cell struct {
	number messenger.CellNumber
	epoch  identifier.Epoch
	// ready is set once the takeover is over and tasks may start.
	ready bool
	// deposed is set when a backend server follows another lead. Nothing more is started until the
	// hosts have agreed on who leads.
	deposed bool
	// awaitedHosts and awaitedServers have not yet replied to the takeover.
	awaitedHosts   map[identifier.HostID]bool
	awaitedServers map[identifier.BackendServerID]bool
	// takenAt is when the takeover began.
	takenAt identifier.Moment
	// seenServers holds the replies of the hosts that have listed the backend servers they have
	// seen.
	seenServers map[identifier.HostID]seenServersReply
	// takeoverAttempts counts how often the takeover's queries were resent.
	takeoverAttempts int
	// missingHosts could not be queried at the takeover.
	missingHosts map[identifier.HostID]bool
	// hostsWithoutState are live hosts that restarted without state before this lead had received
	// all of that state.
	hostsWithoutState map[identifier.HostID]bool
	// lackingState are live hosts that, by their own reply, may not have received the state of the
	// others yet.
	lackingState map[identifier.HostID]bool
	// awaitedDomains are the failure domains that were queried for this home's jobs and have not
	// replied; repliedDomains are those that have. The value is false where the list was cut off.
	awaitedDomains map[identifier.FailureDomain]bool
	repliedDomains map[identifier.FailureDomain]bool
	// awaitsDigests is set while other hosts are queried for the digests of this home;
	// digestsRequested once they have been.
	awaitsDigests    bool
	digestsRequested bool
	// acknowledgedRequested is set once the backend servers were asked which submissions they have
	// acknowledged answers for.
	acknowledgedRequested bool
	// guestQueries wait for the reports of backend servers.
	guestQueries []*GuestsQueried
	// acknowledged are the submissions whose answers backend servers were told to forget, according
	// to the servers and leads that were asked.
	acknowledged map[messenger.SubmissionDigest]bool
	// guestQueryAttempts counts how often failure domains were queried.
	guestQueryAttempts int
	// recovered lists the submissions that other hosts knew at the takeover.
	recovered map[identifier.SubmissionID]recoveredRecord
	// unmatched are the tasks that backend servers reported for submissions whose job has not been
	// forwarded to this lead yet.
	unmatched map[identifier.SubmissionID]*unmatchedTasks
	// queue holds the jobs with queued tasks.
	queue   *queuer.Queue[*job, queuer.Order]
	limiter *limiter.Limiter
	free    freeSlots
	// unlocated are jobs with tasks that may be on a backend server which has not reported yet.
	unlocated []*job
	// announcedFree is the number of free slots last announced to the leads of other failure
	// domains, announcedAt the time of that announcement.
	announcedFree identifier.Slots
	announcedAt   identifier.Moment
	// slots is the number of slots of the usable servers; it is recomputed when capacityStale is
	// set.
	slots         identifier.Slots
	capacityStale bool
	// noServerSince is when the last usable server was lost, or Never.
	noServerSince identifier.Moment
}

// holdersOfRecord is how many hosts know a submission before its first start.
const holdersOfRecord = 2

// mayMissRecords reports whether a submission may be known to missing hosts only. In that case no
// host here can say of any submission that it did not run.
func (cell *cell) mayMissRecords() bool {
	return countDistinct(cell.missingHosts, cell.hostsWithoutState) >= holdersOfRecord
}

// mayMissDigests reports whether a submission may be known to no host of the failure domain, either
// by its record or by its digest. A host that has started recently doesn't prove that another process
// ran before it, so this alone puts no refusal in doubt.
func (cell *cell) mayMissDigests(holders int) bool {
	return countDistinct(cell.missingHosts, cell.hostsWithoutState, cell.lackingState) >= holders
}

// countDistinct returns how many hosts are in any of the sets.
func countDistinct(sets ...map[identifier.HostID]bool) int {
	count := 0
	for index, set := range sets {
		for host := range set {
			inEarlierSet := slices.ContainsFunc(sets[:index], func(earlier map[identifier.HostID]bool) bool { return earlier[host] })
			if !inEarlierSet {
				count++
			}
		}
	}
	return count
}

// recoveredRecord is what another host knew of a submission at the takeover.
type recoveredRecord struct {
	holder identifier.HostID
	record messenger.CopyRecord
	// knownSince is the record's time on this host's clock; knownAfter is a time that is provably
	// not later than it.
	knownSince identifier.Moment
	knownAfter identifier.Moment
	keptUntil  identifier.Moment
}

// keptBySelf reports whether this host keeps the answer.
func (recovered recoveredRecord) keptBySelf(self identifier.HostID) bool {
	return recovered.holder == self && recovered.record.Answered && recovered.record.AnswerHost == ""
}

// unmatchedTasks collects what backend servers reported of a submission's tasks.
type unmatchedTasks struct {
	running map[identifier.TaskID]unmatchedTask
	answers map[identifier.TaskID]unmatchedAnswer
}

// unmatchedTask is where a task runs: in one incarnation of a backend server.
type unmatchedTask struct {
	server      identifier.BackendServerID
	incarnation uint64
}

type unmatchedAnswer struct {
	server identifier.BackendServerID
	answer ServerAnswer
}

// server is a backend server as one cell of this host sees it.
type server struct {
	id          identifier.BackendServerID
	cell        messenger.CellNumber
	incarnation uint64
	rack        identifier.RackID
	slots       identifier.Slots
	// allowed is how many of the slots may be used, given the server's health.
	allowed identifier.Slots
	// others is the number of slots that other leads use; zero unless servers are shared.
	others    identifier.Slots
	slowness  float64
	connected bool
	// silent is set while heartbeats are missing although the stream is open.
	silent  bool
	leaving bool
	// fenced is set once the server has reported under the cell's epoch.
	fenced bool
	// reportRequestedAgain is set after a second report was requested because the first left out the
	// acknowledged submissions.
	reportRequestedAgain bool
	// startedAt is when the server's process started, according to the server.
	startedAt identifier.Moment
	// leftAt is when the server first announced that it is leaving, or Never.
	leftAt identifier.Moment
	// running holds the tasks that were started here and are not resolved.
	running map[TaskKey]*task
	// refusedFull is set after the server refused a start because it had no free slot. No tasks are
	// sent until its next answer or heartbeat.
	refusedFull bool
	// evacuated is set while nothing may be started in the server's failure domain.
	evacuated bool
}

// usable reports whether tasks may be started on the server now.
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
	// firstForwarded is when the job was first forwarded to any lead, on this host's clock.
	firstForwarded identifier.Moment
	// forwardedAfter is a time that is provably not later than firstForwarded, which is computed
	// from ages in messages and so includes their transit time.
	forwardedAfter identifier.Moment
	// mayHaveEarlierStarts is set when an earlier lead may have started tasks of the job.
	mayHaveEarlierStarts bool
	// digest is the kind of digest that is recorded for the submission.
	digest messenger.DigestKind
	// claimed is set once the claim of a not-repeatable job is granted.
	claimed bool
	// releasable is set when the job was refused and none of its tasks has started or will start
	// here.
	releasable bool
	// claimHolder is the other submission that holds the claim of this job.
	claimHolder identifier.SubmissionID
	// waitingLookups are the hosts that looked the submission up and wait for its end.
	waitingLookups []waitingLookup
	// recipients are the hosts that wait for the answer.
	recipients []identifier.HostID
	tasks      []task
	// byID indexes tasks; its values point into tasks.
	byID map[identifier.TaskID]*task
	// startOrder lists the indices of tasks in the order in which they start; nil means the order
	// in which they were submitted.
	startOrder []int
	nextQueued int
	entry      queuer.Entry[*job]
	estimate   jobEstimate
	unresolved int
	answer     *messenger.JobAnswer
	// answerReplicated is set once a second host holds the answer.
	answerReplicated bool
	// finishedAt is when the job got its answer.
	finishedAt identifier.Moment
	// spilledTo is the failure domain that the job is handed to, and spillMode what its lead may do.
	// If that lead can't be reached, the job fails at spillUnknownUntil.
	spilledTo         identifier.FailureDomain
	spillMode         messenger.SpillMode
	spillUnknownUntil identifier.Moment
	// homeLead is the lead of the job's home in another failure domain; empty for jobs that are at
	// home here.
	homeLead identifier.HostID
	// failure is why the job failed while its cell's takeover was under way. It is answered only
	// after the takeover has shown that there is no earlier answer.
	failure *failure
}

// failure is the reason why a job can't complete.
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
	// unknownUntil is when the job fails unless this unknown task is resolved.
	unknownUntil identifier.Moment
	result       []byte
	// runTime is how long the backend server ran the task.
	runTime time.Duration
	// refusals counts the starts that provably did not happen.
	refusals int
	// inFlight is set while the task counts toward its team's limit of tasks in flight.
	inFlight bool
}

func (task *task) key() TaskKey {
	return TaskKey{Submission: task.job.spec.Submission, Task: task.spec.Task}
}

func (job *job) timer(kind timerKind) timerKey {
	return timerKey{kind: kind, submission: job.spec.Submission}
}

// timerKind is the kind of deadline that a timer stands for.
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
	// timerConfirm retries the replication of an answer to a second host.
	timerConfirm
	// timerRelease releases a claim.
	timerRelease
	// timerSweep removes recovered records whose retention is over.
	timerSweep
	// timerLostState fires when no record that lost hosts held would still be kept.
	timerLostState
)

// timerKey identifies one deadline.
type timerKey struct {
	kind       timerKind
	submission identifier.SubmissionID
	server     identifier.BackendServerID
	cell       messenger.CellNumber
}
