package replicator

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// long disables the fixed seed and the fixed number of checks, so that -rapid.checks and
// -rapid.seed apply.
var long = flag.Bool("long", false, "fuzz with random seeds, as many checks as -rapid.checks says")

// porcupineBudget limits the linearizability search on one history. Many writes of unknown
// outcome make the search wide; a history that exceeds it counts as undecided, and the
// oracle's own checks of the run still apply.
const porcupineBudget = 100 * time.Millisecond

func TestMain(m *testing.M) {
	flag.Parse()
	if !*long {
		mustSet("rapid.seed", "5")
		mustSet("rapid.steps", "60")
	}
	os.Exit(m.Run())
}

// fixedChecks sets the number of runs of a test in CI.
func fixedChecks(count string) {
	if !*long {
		mustSet("rapid.checks", count)
	}
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// workload drives a simulation and records what its clients observed.
type workload struct {
	*simulation
	handle     Handle
	operations map[Handle]*porcupine.Operation
	order      []Handle
	initial    int
	added      int
}

type registerInput struct {
	write bool
	value uint64
}

type registerOutput struct {
	value   uint64
	unknown bool
}

// registerModel is a register with a swap that returns the previous value. An operation of
// unknown outcome may take effect at any time after its start.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(registerInput), output.(registerOutput)
		fits := out.unknown || out.value == state.(uint64)
		if in.write {
			return fits, in.value
		}
		return fits, state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %v", input, output) },
}

func newWorkload(seed uint64, hosts int, settings Settings) *workload {
	workload := &workload{
		simulation: newSimulation(seed, hosts, settings),
		operations: make(map[Handle]*porcupine.Operation),
		initial:    hosts,
	}
	workload.onOutcome = workload.writeEnded
	workload.onRead = workload.readEnded
	return workload
}

func (workload *workload) begin(input registerInput) Handle {
	workload.handle++
	workload.operations[workload.handle] = &porcupine.Operation{
		ClientId: int(workload.handle),
		Input:    input,
		Call:     int64(workload.now),
		Output:   registerOutput{unknown: true},
		Return:   int64(1 << 62),
	}
	workload.order = append(workload.order, workload.handle)
	return workload.handle
}

func (workload *workload) propose(keeper *keeper, count int) Handle {
	var inputs []Input
	for range count {
		handle := workload.begin(registerInput{write: true, value: uint64(workload.handle) + 1})
		inputs = append(inputs, Proposed{Handle: handle, Data: binary.LittleEndian.AppendUint64(nil, uint64(handle))})
	}
	workload.input(keeper, inputs...)
	return workload.handle
}

func (workload *workload) read(keeper *keeper) {
	handle := workload.begin(registerInput{})
	workload.oracle.recordReadRequest(handle)
	workload.input(keeper, ReadRequested{Handle: handle})
}

// readEverywhere reads at every keeper, which includes leaders that were replaced without
// noticing.
func (workload *workload) readEverywhere() {
	for _, keeper := range workload.keepers {
		workload.read(keeper)
	}
}

// runUnderLoad continually sends reads to every keeper and writes to every leader. These
// reads are checked by the oracle alone.
func (workload *workload) runUnderLoad(duration time.Duration) {
	for until := workload.now + duration; workload.now < until; workload.runFor(7 * time.Millisecond) {
		for _, keeper := range workload.keepers {
			if keeper.alive && keeper.replicator.Role() == RoleLeader {
				workload.propose(keeper, 1)
			}
			workload.handle++
			workload.oracle.recordReadRequest(workload.handle)
			workload.input(keeper, ReadRequested{Handle: workload.handle})
		}
	}
}

func (workload *workload) writeEnded(_ *keeper, outcome ProposalOutcome) {
	operation := workload.operations[outcome.Handle]
	switch {
	case operation == nil || outcome.Kind == OutcomeUnknown:
		return
	case outcome.Kind != OutcomeAccepted:
		// A refusal guarantees that nothing was appended, so it is not an operation at all.
		delete(workload.operations, outcome.Handle)
	default:
		operation.Return = int64(workload.now)
		operation.Output = registerOutput{value: binary.LittleEndian.Uint64(outcome.Result)}
	}
}

func (workload *workload) readEnded(keeper *keeper, handle Handle, ready bool) {
	operation := workload.operations[handle]
	if operation == nil {
		return
	}
	if !ready {
		delete(workload.operations, handle)
		return
	}
	operation.Return = int64(workload.now)
	operation.Output = registerOutput{value: keeper.register.value}
}

// history returns the relevant operations. Reads that never ended are excluded, and so are
// writes of unknown outcome that are not in the log at the end: they never took effect.
func (workload *workload) history() []porcupine.Operation {
	tookEffect := make(map[uint64]bool)
	for _, entry := range workload.oracle.committed {
		if entry.Kind == EntryCommand {
			tookEffect[binary.LittleEndian.Uint64(entry.Data)] = true
		}
	}
	var history []porcupine.Operation
	for _, handle := range workload.order {
		operation := workload.operations[handle]
		if operation == nil {
			continue
		}
		input := operation.Input.(registerInput)
		if operation.Output.(registerOutput).unknown && !(input.write && tookEffect[input.value]) {
			continue
		}
		history = append(history, *operation)
	}
	return history
}

// verifyRecovery ends all faults, waits until a new proposal is accepted, and checks that
// every keeper ends with all accepted entries.
func (workload *workload) verifyRecovery() {
	workload.heal()
	workload.lossShare, workload.dupShare, workload.jitter, workload.crashShare = 0, 0, 0, 0
	workload.sync = 4 * time.Millisecond
	for _, keeper := range workload.keepers {
		if keeper.alive && keeper.paused {
			workload.resume(keeper)
		}
		if !keeper.alive {
			workload.start(keeper)
		}
		workload.acceptWrites(keeper)
	}
	workload.runFor(10 * time.Second)
	leader := workload.leader()
	if leader == nil {
		workload.oracle.addViolation("no leader 10 s after all faults ended")
		return
	}
	last := workload.propose(leader, 1)
	workload.runFor(2 * time.Second)
	if workload.oracle.acceptedAt[last] == 0 {
		workload.oracle.addViolation("nothing accepted after all faults ended")
	}
	workload.oracle.checkConverged(workload.keepers, leader.replicator.Members())
}

func fuzzSettings(t *rapid.T) Settings {
	settings := DefaultSettings()
	settings.ClockDriftBound = rapid.SampledFrom([]PerMille{20, 200}).Draw(t, "drift")
	settings.MaxBatchEntries = rapid.IntRange(1, 8).Draw(t, "batch")
	settings.MaxInFlightEntries = rapid.IntRange(1, 20).Draw(t, "in flight")
	settings.SnapshotEvery = rapid.IntRange(3, 40).Draw(t, "snapshot every")
	settings.EntriesKeptBehindSnapshot = rapid.IntRange(0, 10).Draw(t, "kept")
	settings.SnapshotChunkBytes = identifier.Bytes(rapid.IntRange(10, 200).Draw(t, "chunk"))
	return settings
}

// actions are the steps of the stateful fuzz test. Each is followed by a drawn pause.
func (workload *workload) actions(t *rapid.T) map[string]func(*rapid.T) {
	anyKeeper := func(t *rapid.T) *keeper {
		return workload.keepers[rapid.IntRange(0, len(workload.keepers)-1).Draw(t, "keeper")]
	}
	leaderOrAny := func(t *rapid.T) *keeper {
		if leader := workload.leader(); leader != nil && rapid.IntRange(0, 4).Draw(t, "aim") > 0 {
			return leader
		}
		return anyKeeper(t)
	}
	change := func(t *rapid.T, kind ChangeKind, host identifier.HostID) {
		workload.handle++
		workload.input(leaderOrAny(t), MembershipChangeProposed{Handle: workload.handle, Kind: kind, Host: host})
	}
	propose := func(t *rapid.T) { workload.propose(leaderOrAny(t), rapid.IntRange(1, 6).Draw(t, "count")) }
	restart := func(t *rapid.T) {
		for _, keeper := range workload.keepers {
			if !keeper.alive && rapid.Bool().Draw(t, "this one") {
				workload.start(keeper)
			}
		}
	}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			short := time.Duration(rapid.IntRange(0, 20).Draw(t, "milliseconds")) * time.Millisecond
			long := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 5, 30}).Draw(t, "tenths")) * 100 * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "busy") == 0 {
				workload.runUnderLoad(short + long)
			}
			workload.runFor(short + long)
			if len(workload.oracle.violations) > 0 {
				t.Fatal(workload.oracle.violations)
			}
		},
		"propose":          propose,
		"propose again":    propose,
		"propose and read": func(t *rapid.T) { propose(t); workload.readEverywhere() },
		"read":             func(t *rapid.T) { workload.read(leaderOrAny(t)) },
		"read everywhere":  func(*rapid.T) { workload.readEverywhere() },
		"crash": func(t *rapid.T) {
			if keeper := leaderOrAny(t); keeper.alive {
				workload.crash(keeper)
			}
		},
		"restart":       restart,
		"restart again": restart,
		"stop":          func(t *rapid.T) { leaderOrAny(t).paused = true },
		"continue": func(t *rapid.T) {
			for _, keeper := range workload.keepers {
				if keeper.alive && keeper.paused {
					workload.resume(keeper)
				}
			}
		},
		"isolate": func(t *rapid.T) { workload.isolate(leaderOrAny(t).host) },
		"cut one way": func(t *rapid.T) {
			workload.cut[[2]identifier.HostID{anyKeeper(t).host, anyKeeper(t).host}] = true
		},
		"heal":       func(*rapid.T) { workload.heal() },
		"heal again": func(*rapid.T) { workload.heal() },
		"weather": func(t *rapid.T) {
			workload.lossShare = rapid.SampledFrom([]int{0, 0, 50, 300}).Draw(t, "loss")
			workload.dupShare = rapid.SampledFrom([]int{0, 0, 100, 500}).Draw(t, "duplicates")
			jitter := rapid.SampledFrom([]int{0, 0, 5, 50, 400}).Draw(t, "jitter")
			workload.jitter = time.Duration(jitter) * time.Millisecond
			workload.crashShare = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "crashes")
			sync := rapid.SampledFrom([]int{4, 4, 4, 40, 600}).Draw(t, "sync")
			workload.sync = time.Duration(sync) * time.Millisecond
		},
		"refuse writes": func(t *rapid.T) { leaderOrAny(t).disk.refuses = true },
		"accept writes": func(*rapid.T) {
			for _, keeper := range workload.keepers {
				workload.acceptWrites(keeper)
			}
		},
		"transfer":    func(t *rapid.T) { workload.input(leaderOrAny(t), TransferRequested{}) },
		"unreachable": func(t *rapid.T) { workload.input(leaderOrAny(t), PeerUnreachable{Host: anyKeeper(t).host}) },
		"reachable":   func(t *rapid.T) { workload.input(leaderOrAny(t), PeerReachable{Host: anyKeeper(t).host}) },
		"add learner": func(t *rapid.T) {
			if workload.added == 3 {
				t.Skip("enough")
			}
			host := hostName(workload.initial + workload.added)
			workload.added++
			workload.addKeeper(host, nil)
			change(t, ChangeAddLearner, host)
		},
		"promote": func(t *rapid.T) { change(t, ChangePromote, anyKeeper(t).host) },
		"remove":  func(t *rapid.T) { change(t, ChangeRemove, anyKeeper(t).host) },
	}
}

// TestAgreementUnderFaults mixes all kinds of faults with work. The oracle checks each
// output; porcupine checks that what the clients observed is linearizable.
func TestAgreementUnderFaults(t *testing.T) {
	fixedChecks("60")
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		workload := newWorkload(rapid.Uint64().Draw(t, "seed"), hosts, fuzzSettings(t))
		workload.runFor(3 * time.Second)
		t.Repeat(workload.actions(t))
		workload.verifyRecovery()
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		switch porcupine.CheckOperationsTimeout(registerModel, workload.history(), porcupineBudget) {
		case porcupine.Illegal:
			t.Fatal("history is not linearizable")
		case porcupine.Unknown:
			total.undecided++
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}

// tally counts what the runs of a fuzz test covered.
type tally struct {
	runs, ticks, leaderships, accepted, reads, installed, memberships, undecided int
}

func (total *tally) add(workload *workload) {
	total.runs++
	total.ticks += workload.steps
	total.leaderships += len(workload.oracle.leaders)
	total.accepted += len(workload.oracle.acceptedAt)
	total.reads += workload.oracle.reads
	total.installed += workload.oracle.installs
	total.memberships += workload.oracle.memberships
}
