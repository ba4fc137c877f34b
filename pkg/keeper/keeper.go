// Package keeper implements the keeper role of a host with a disk. It connects the replicated
// log with the state machine that it drives (claims of not-repeatable jobs, the shared
// configuration and intents), serves the requests of other hosts, and passes what must be
// durable to the journal. It is pure: it does no I/O and reads no clock.
package keeper

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/replicator"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// marksPerRetention is the number of marks that the leader records per claim retention time. A
// claim is stored in full for at most one mark's spacing longer than the retention time.
const marksPerRetention = 24

// Settings holds the replication settings and the retention time of claims.
type Settings struct {
	Replicator replicator.Settings
	// ClaimRetention is how long a claim is stored in full.
	ClaimRetention time.Duration
}

// DefaultSettings returns the default settings of the daemon.
func DefaultSettings() Settings {
	return Settings{Replicator: replicator.DefaultSettings(), ClaimRetention: 24 * time.Hour}
}

// Keeper is the state of one keeper. Set the exported fields before the first Tick.
type Keeper struct {
	Self     identifier.HostID
	Seed     uint64
	Settings Settings
	// InitialMembers are the members of a new log.
	InitialMembers []replicator.Member
	// Joining reports that this keeper's disk holds nothing of what it may have acknowledged before.
	Joining bool
	// Incarnation identifies this disk among those that keepers under Self have had.
	Incarnation identifier.Incarnation

	now        identifier.Moment
	machine    *machine
	replicator *replicator.Replicator
	// pending are the requests that wait for the log; their commands are left out.
	pending *tabulator.Table[replicator.Handle, pendingRequest]
	// proposed holds the handle of each configuration change that waits for the log.
	proposed map[identifier.RequestID]replicator.Handle
	// received are the configuration changes that were received in this tick.
	received   []receivedChange
	nextHandle replicator.Handle
	leader     identifier.HostID
	term       identifier.Term
	applied    identifier.LogIndex
	halted     string
	// confirmed reports whether everything committed before this start has been applied.
	confirmed bool
	// announced is the newest configuration version that this host was notified of.
	announced identifier.ConfigVersion
	marks     []mark
	timers    *tabulator.Timers[struct{}]
	outputs   []Output
}

// mark records when a log index was applied, by this host's clock.
type mark struct {
	index identifier.LogIndex
	at    identifier.Moment
}

// Tick applies the inputs, handles expired deadlines and returns what to do, in order.
func (keeper *Keeper) Tick(now identifier.Moment, inputs []Input) []Output {
	keeper.prepare(now)
	var log []replicator.Input
	for _, input := range inputs {
		log = keeper.handleInput(log, input)
	}
	log = keeper.shrinkClaims(log)
	for _, output := range keeper.replicator.Tick(now, log) {
		keeper.handleOutput(output)
	}
	keeper.replyPending()
	keeper.announceVersion()
	outputs := keeper.outputs
	keeper.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run next even without inputs, or identifier.Never.
func (keeper *Keeper) NextDeadline() identifier.Moment {
	if keeper.replicator == nil {
		return identifier.Never
	}
	return identifier.Earlier(keeper.replicator.NextDeadline(), keeper.timers.Next())
}

// IsLeader reports whether this keeper is the leader, as far as it knows.
func (keeper *Keeper) IsLeader() bool { return keeper.leader == keeper.Self }

// Members returns the last known members of the log, or nil before the first Tick.
func (keeper *Keeper) Members() []replicator.Member {
	if keeper.replicator == nil {
		return nil
	}
	return keeper.replicator.Members()
}

// Intents returns the state of all intents as of the last log entry applied here, or nil
// before the first Tick. The caller must not modify it.
func (keeper *Keeper) Intents() *planner.Machine {
	if keeper.machine == nil {
		return nil
	}
	return &keeper.machine.intents
}

// Configuration returns the newest configuration version applied here, or a zero one.
func (keeper *Keeper) Configuration() configurer.Version {
	if keeper.machine == nil {
		return configurer.Version{}
	}
	return keeper.newestVersion()
}

func (keeper *Keeper) prepare(now identifier.Moment) {
	keeper.now = now
	if keeper.replicator != nil {
		return
	}
	keeper.machine = newMachine()
	keeper.pending = tabulator.New[replicator.Handle, pendingRequest]()
	keeper.proposed = make(map[identifier.RequestID]replicator.Handle)
	keeper.timers = tabulator.NewTimers[struct{}]()
	keeper.replicator = &replicator.Replicator{
		Self:           keeper.Self,
		Seed:           keeper.Seed,
		Settings:       keeper.Settings.Replicator,
		InitialMembers: keeper.InitialMembers,
		Joining:        keeper.Joining,
		Incarnation:    keeper.Incarnation,
		StateMachine:   keeper.machine,
	}
}

// handleInput processes one input and appends the resulting inputs of the replicated log.
func (keeper *Keeper) handleInput(log []replicator.Input, input Input) []replicator.Input {
	switch input := input.(type) {
	case *LogInput:
		return append(log, input.Input)
	case *RequestReceived:
		return keeper.handleRequest(log, input.Request)
	case *HistoryRequested:
		keeper.outputs = append(keeper.outputs, &History{
			Waiter: input.Waiter, Versions: keeper.machine.configuration.History(),
		})
	}
	return log
}

// handleRequest proposes a command or starts a read, or forwards the request to the leader.
func (keeper *Keeper) handleRequest(log []replicator.Input, request Request) []replicator.Input {
	change := request.Command.changeID()
	if result, decided := keeper.machine.configuration.ResultOf(change); decided && change != "" {
		keeper.reply(&request, Reply{Kind: ReplyApplied, Result: Result{Change: &result}})
		return log
	}
	if !keeper.IsLeader() && keeper.leader != "" && !request.Forwarded {
		request.Forwarded = true
		keeper.outputs = append(keeper.outputs, &Forward{To: keeper.leader, Request: request})
		return log
	}
	if request.reads() {
		return keeper.handleRead(log, request)
	}
	if handle, isProposed := keeper.proposed[change]; isProposed {
		keeper.pending.Get(handle).add(request)
		keeper.received = append(keeper.received, receivedChange{handle: handle, request: request.withoutCommand()})
		return log
	}
	data, err := encodeCommand(&request.Command)
	if err != nil {
		keeper.reply(&request, Reply{Kind: ReplyRefused})
		return log
	}
	handle := keeper.await(request)
	if change != "" {
		keeper.proposed[change] = handle
		keeper.received = append(keeper.received, receivedChange{handle: handle, request: request.withoutCommand()})
	}
	return append(log, replicator.Proposed{Handle: handle, Data: data})
}

func (keeper *Keeper) reply(request *Request, reply Reply) {
	reply.Nonce = request.Nonce
	reply.Leader = keeper.leader
	keeper.outputs = append(keeper.outputs, &Answer{To: request.Origin, Reply: reply})
}

func (keeper *Keeper) handleOutput(output replicator.Output) {
	switch output := output.(type) {
	case replicator.Send:
		keeper.outputs = append(keeper.outputs, &Send{To: output.To, Message: output.Message})
	case replicator.Persist:
		keeper.outputs = append(keeper.outputs, &Persist{Persist: output})
	case replicator.SaveSnapshot:
		keeper.outputs = append(keeper.outputs, &SaveSnapshot{Snapshot: output.Snapshot})
	case replicator.ProposalOutcome:
		keeper.answerOutcome(output)
	case replicator.ReadReady:
		keeper.answerRead(output.Handle)
	case replicator.ReadRefused:
		keeper.refuseRead(output.Handle)
	case replicator.Applied:
		keeper.recordApplied(output.Entry.Index)
	case replicator.SnapshotInstalled:
		keeper.recordApplied(output.Index)
	case replicator.LeaderChanged:
		keeper.handleLeaderChanged(output)
	case replicator.MembershipChanged:
		keeper.outputs = append(keeper.outputs, &MembersChanged{Members: output.Members})
	case replicator.Joined:
		keeper.outputs = append(keeper.outputs, &Joined{})
	case replicator.Halted:
		keeper.halted = output.Err.Error()
		keeper.outputs = append(keeper.outputs, &Halted{Reason: keeper.halted})
	}
}

// answerOutcome replies to all who requested what was proposed under a handle.
func (keeper *Keeper) answerOutcome(outcome replicator.ProposalOutcome) {
	pending := keeper.pending.Get(outcome.Handle)
	if pending == nil {
		keeper.outputs = append(keeper.outputs, &MembershipDecided{Handle: outcome.Handle, Outcome: outcome.Kind})
		return
	}
	keeper.pending.Remove(outcome.Handle)
	delete(keeper.proposed, pending.change)
	reply := replyTo(outcome)
	for index := range pending.requests {
		keeper.reply(&pending.requests[index], reply)
	}
}

func replyTo(outcome replicator.ProposalOutcome) Reply {
	switch outcome.Kind {
	case replicator.OutcomeAccepted:
		result, err := decodeResult(outcome.Result)
		if err != nil {
			return Reply{Kind: ReplyRefused}
		}
		return Reply{Kind: ReplyApplied, Result: result}
	case replicator.OutcomeUnknown:
		return Reply{Kind: ReplyUnknown}
	case replicator.OutcomeNotLeader:
		return Reply{Kind: ReplyNotLed}
	default:
		return Reply{Kind: ReplyRefused}
	}
}

// announceVersion notifies the host of a newer configuration, whether it was applied now or
// recovered at the start.
//
// A journal records only for earlier entries that they were committed, not for the last ones.
// If recovered state were announced at once, hosts that all lost power would use an older
// configuration than one that was acknowledged, until there is a leader again. Once an entry of
// the current leader has been applied, everything committed before has been applied too.
func (keeper *Keeper) announceVersion() {
	if !keeper.confirmed {
		keeper.confirmed = keeper.leader != "" && keeper.replicator.AppliedTerm() == keeper.term
	}
	newest := keeper.machine.configuration.Newest()
	if !keeper.confirmed || newest.Version <= keeper.announced {
		return
	}
	keeper.announced = newest.Version
	keeper.outputs = append(keeper.outputs, &VersionAccepted{Version: newest})
}

// recordApplied records the applied index and, on the leader, when it was applied, for the
// retention of claims.
func (keeper *Keeper) recordApplied(index identifier.LogIndex) {
	keeper.applied = index
	if !keeper.IsLeader() {
		return
	}
	spacing := keeper.Settings.ClaimRetention / marksPerRetention
	if len(keeper.marks) > 0 && keeper.now.Sub(keeper.marks[len(keeper.marks)-1].at) < spacing {
		return
	}
	keeper.marks = append(keeper.marks, mark{index: index, at: keeper.now})
	keeper.timers.Set(struct{}{}, keeper.marks[0].at.Add(keeper.Settings.ClaimRetention))
}

// handleLeaderChanged records the log's leader. A new leader has no marks for entries before
// its term, so it stores those claims in full for longer, never for a shorter time.
func (keeper *Keeper) handleLeaderChanged(change replicator.LeaderChanged) {
	keeper.leader = change.Leader
	keeper.term = change.Term
	if !keeper.IsLeader() {
		keeper.marks = nil
		keeper.timers.Clear(struct{}{})
	}
	keeper.outputs = append(keeper.outputs, &LeaderChanged{Leader: change.Leader, Term: change.Term})
}

// shrinkClaims proposes to reduce the claims older than the retention time to fingerprints.
func (keeper *Keeper) shrinkClaims(log []replicator.Input) []replicator.Input {
	if _, due := keeper.timers.PopDue(keeper.now); !due || len(keeper.marks) == 0 {
		return log
	}
	below := keeper.marks[0].index
	keeper.marks = keeper.marks[1:]
	if len(keeper.marks) > 0 {
		keeper.timers.Set(struct{}{}, keeper.marks[0].at.Add(keeper.Settings.ClaimRetention))
	}
	command := Command{Claims: &claimer.Command{ShrinkBelow: below}}
	data, err := encodeCommand(&command)
	if err != nil {
		return log
	}
	// The outcome is ignored: claims that are not shrunk now are shrunk with the next mark.
	keeper.nextHandle++
	return append(log, replicator.Proposed{Handle: keeper.nextHandle, Data: data})
}

// Status is the state of a keeper that is shown to operators.
type Status struct {
	Leader       identifier.HostID        `json:"leader"`
	Term         identifier.Term          `json:"term"`
	Applied      identifier.LogIndex      `json:"applied"`
	Members      []MemberStatus           `json:"members"`
	Claims       int                      `json:"claims"`
	Fingerprints int                      `json:"fingerprints"`
	Version      identifier.ConfigVersion `json:"config-version"`
	Halted       string                   `json:"halted,omitempty"`
}

// MemberStatus is one member of the log.
type MemberStatus struct {
	Host identifier.HostID `json:"host"`
	Role string            `json:"role"`
}

// Status returns the current state of this keeper for operators.
func (keeper *Keeper) Status() Status {
	status := Status{Leader: keeper.leader, Term: keeper.term, Applied: keeper.applied, Halted: keeper.halted}
	for _, member := range keeper.Members() {
		status.Members = append(status.Members, MemberStatus{Host: member.Host, Role: member.Role.String()})
	}
	if keeper.machine != nil {
		status.Claims = keeper.machine.claims.ClaimCount()
		status.Fingerprints = keeper.machine.claims.FingerprintCount()
		status.Version = keeper.newestVersion().Version
	}
	return status
}

func (keeper *Keeper) newestVersion() configurer.Version {
	return keeper.machine.configuration.Newest()
}
