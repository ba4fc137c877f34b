// Package keeper is the part of a host with a disk: it joins the replicated log
// with the state that is agreed through it (claims of not-repeatable jobs and the
// shared configuration), serves the requests of other hosts, and hands what must
// be durable to the journal. It is pure.
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

// marksPerRetention is how many marks the leader sets in one claim retention; a
// claim is kept whole for at most this part longer.
const marksPerRetention = 24

// Settings says how the keeper replicates and how long it keeps claims.
type Settings struct {
	Replicator replicator.Settings
	// ClaimRetention is how long a claim is kept whole.
	ClaimRetention time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{Replicator: replicator.DefaultSettings(), ClaimRetention: 24 * time.Hour}
}

// Keeper is one keeper. Set the exported fields before the first Tick.
type Keeper struct {
	Self     identifier.HostID
	Seed     uint64
	Settings Settings
	// InitialMembers are the keepers of a new log.
	InitialMembers []replicator.Member
	// Joining tells that this keeper's disk holds nothing that it vouched for before.
	Joining bool

	now        identifier.Moment
	machine    *machine
	replicator *replicator.Replicator
	pending    *tabulator.Table[replicator.Handle, Request]
	nextHandle replicator.Handle
	leader     identifier.HostID
	term       identifier.Term
	commit     identifier.LogIndex
	halted     string
	// confirmed tells that all that was agreed on before this start has been applied.
	confirmed bool
	// announced is the newest configuration that was told to this host.
	announced identifier.ConfigVersion
	marks     []mark
	timers    *tabulator.Timers[struct{}]
	outputs   []Output
}

// mark remembers when a log index was applied, by this host's clock.
type mark struct {
	index identifier.LogIndex
	at    identifier.Moment
}

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (keeper *Keeper) Tick(now identifier.Moment, inputs []Input) []Output {
	keeper.prepare(now)
	var log []replicator.Input
	for _, input := range inputs {
		log = keeper.apply(log, input)
	}
	log = keeper.shrinkClaims(log)
	for _, output := range keeper.replicator.Tick(now, log) {
		keeper.route(output)
	}
	keeper.announceVersion()
	outputs := keeper.outputs
	keeper.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (keeper *Keeper) NextDeadline() identifier.Moment {
	if keeper.replicator == nil {
		return identifier.Never
	}
	return identifier.Earlier(keeper.replicator.NextDeadline(), keeper.timers.Next())
}

// Leads tells whether this keeper leads the others.
func (keeper *Keeper) Leads() bool { return keeper.leader == keeper.Self }

// Members returns the members of the log, as far as this keeper knows.
func (keeper *Keeper) Members() []replicator.Member {
	if keeper.replicator == nil {
		return nil
	}
	return keeper.replicator.Members()
}

// Intents returns the state of all intents as far as this keeper has applied the
// log, or nil before the first Tick. It must not be changed.
func (keeper *Keeper) Intents() *planner.Machine {
	if keeper.machine == nil {
		return nil
	}
	return &keeper.machine.intents
}

func (keeper *Keeper) prepare(now identifier.Moment) {
	keeper.now = now
	if keeper.replicator != nil {
		return
	}
	keeper.machine = newMachine()
	keeper.pending = tabulator.New[replicator.Handle, Request]()
	keeper.timers = tabulator.NewTimers[struct{}]()
	keeper.replicator = &replicator.Replicator{
		Self:           keeper.Self,
		Seed:           keeper.Seed,
		Settings:       keeper.Settings.Replicator,
		InitialMembers: keeper.InitialMembers,
		Joining:        keeper.Joining,
		StateMachine:   keeper.machine,
	}
}

// apply carries out one input and adds what the log must be told.
func (keeper *Keeper) apply(log []replicator.Input, input Input) []replicator.Input {
	switch input := input.(type) {
	case *ToLog:
		return append(log, input.Input)
	case *Requested:
		return keeper.request(log, input.Request)
	case *HistoryWanted:
		keeper.outputs = append(keeper.outputs, &History{
			Waiter: input.Waiter, Versions: keeper.machine.configuration.History(),
		})
	}
	return log
}

// request proposes a command, or passes it on to the keeper that leads.
func (keeper *Keeper) request(log []replicator.Input, request Request) []replicator.Input {
	if !keeper.Leads() && keeper.leader != "" && !request.Forwarded {
		request.Forwarded = true
		keeper.outputs = append(keeper.outputs, &Forward{To: keeper.leader, Request: request})
		return log
	}
	if request.reads() {
		return keeper.read(log, request)
	}
	data, err := encodeCommand(&request.Command)
	if err != nil {
		keeper.reply(&request, Reply{Kind: ReplyRefused})
		return log
	}
	keeper.nextHandle++
	handle := keeper.nextHandle
	keeper.pending.Put(handle, &request)
	return append(log, replicator.Proposed{Handle: handle, Data: data})
}

func (keeper *Keeper) reply(request *Request, reply Reply) {
	reply.Nonce = request.Nonce
	reply.Leader = keeper.leader
	keeper.outputs = append(keeper.outputs, &Answer{To: request.Origin, Reply: reply})
}

func (keeper *Keeper) route(output replicator.Output) {
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
		keeper.noteApplied(output.Entry.Index)
	case replicator.SnapshotInstalled:
		keeper.noteApplied(output.Index)
	case replicator.LeaderChanged:
		keeper.changeLeader(output)
	case replicator.Joined:
		keeper.outputs = append(keeper.outputs, &Joined{})
	case replicator.Halted:
		keeper.halted = output.Err.Error()
		keeper.outputs = append(keeper.outputs, &Halted{Reason: keeper.halted})
	}
}

func (keeper *Keeper) answerOutcome(outcome replicator.ProposalOutcome) {
	request := keeper.pending.Get(outcome.Handle)
	if request == nil {
		return
	}
	keeper.pending.Remove(outcome.Handle)
	switch outcome.Kind {
	case replicator.OutcomeAccepted:
		result, err := decodeResult(outcome.Result)
		if err != nil {
			keeper.reply(request, Reply{Kind: ReplyRefused})
			return
		}
		keeper.reply(request, Reply{Kind: ReplyApplied, Result: result})
	case replicator.OutcomeUnknown:
		keeper.reply(request, Reply{Kind: ReplyUnknown})
	case replicator.OutcomeNotLeader:
		keeper.reply(request, Reply{Kind: ReplyNotLed})
	default:
		keeper.reply(request, Reply{Kind: ReplyRefused})
	}
}

// announceVersion tells the host of a newer configuration, be it applied now or
// recovered at the start.
//
// A journal tells only of earlier entries that they were agreed on, not of the last
// ones. Were what it has recovered told at once, hosts that all lost power would go by
// an older configuration than one that was acknowledged, until there is a leader again.
// Once an entry of the present leader has been applied, all that was agreed on has been.
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

// noteApplied marks, on the leader, the moment for the claims' retention.
func (keeper *Keeper) noteApplied(index identifier.LogIndex) {
	keeper.commit = index
	if !keeper.Leads() {
		return
	}
	spacing := keeper.Settings.ClaimRetention / marksPerRetention
	if len(keeper.marks) > 0 && keeper.now.Sub(keeper.marks[len(keeper.marks)-1].at) < spacing {
		return
	}
	keeper.marks = append(keeper.marks, mark{index: index, at: keeper.now})
	keeper.timers.Set(struct{}{}, keeper.marks[0].at.Add(keeper.Settings.ClaimRetention))
}

// changeLeader follows the log's leader. A new leader has no marks of the entries
// before it, so it keeps those claims whole for longer, never for shorter.
func (keeper *Keeper) changeLeader(change replicator.LeaderChanged) {
	keeper.leader = change.Leader
	keeper.term = change.Term
	if !keeper.Leads() {
		keeper.marks = nil
		keeper.timers.Clear(struct{}{})
	}
	keeper.outputs = append(keeper.outputs, &LeaderChanged{Leader: change.Leader, Term: change.Term})
}

// shrinkClaims proposes to shrink the claims that are older than the retention.
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
	// The outcome needs no answer: what was not shrunk now is shrunk by the next
	// mark.
	keeper.nextHandle++
	return append(log, replicator.Proposed{Handle: keeper.nextHandle, Data: data})
}

// Status is what operators see of a keeper.
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

// Status returns what operators see of this keeper.
func (keeper *Keeper) Status() Status {
	status := Status{Leader: keeper.leader, Term: keeper.term, Applied: keeper.commit, Halted: keeper.halted}
	for _, member := range keeper.Members() {
		status.Members = append(status.Members, MemberStatus{Host: member.Host, Role: member.Role.String()})
	}
	if keeper.machine != nil {
		status.Claims = keeper.machine.claims.Len()
		status.Fingerprints = keeper.machine.claims.Fingerprints()
		status.Version = keeper.newestVersion().Version
	}
	return status
}

func (keeper *Keeper) newestVersion() configurer.Version {
	return keeper.machine.configuration.Newest()
}
