package replicator

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// instant is a point in true virtual time, which no keeper can read.
type instant = time.Duration

// simulation runs keepers in virtual time over a network and disks with injected faults, and
// checks every output against the oracle.
type simulation struct {
	settings  Settings
	random    *rand.Rand
	now       instant
	events    eventQueue
	order     uint64
	keepers   []*keeper
	oneWay    time.Duration
	jitter    time.Duration
	sync      time.Duration
	lossShare int // per mille
	dupShare  int // per mille
	// crashShare is the share, per mille, of inputs to a keeper with unsynced writes after which
	// it crashes; it restarts within maxDowntime.
	crashShare  int
	maxDowntime time.Duration
	cut         map[[2]identifier.HostID]bool
	oracle      *oracle
	onOutcome   func(keeper *keeper, outcome ProposalOutcome)
	onRead      func(keeper *keeper, handle Handle, ready bool)
	onSend      func(from identifier.HostID, send Send)
	steps       int
}

type event struct {
	at    instant
	order uint64
	act   func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].order < queue[j].order
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// keeper is one simulated host: a replicator, its disk and its clock.
type keeper struct {
	host           identifier.HostID
	initial        []Member
	replicator     *Replicator
	register       *register
	alive          bool
	paused         bool // as by SIGSTOP: alive, but processes nothing
	incarnation    int  // counts starts and crashes; events of an earlier incarnation are ignored
	clockBase      identifier.Moment
	clockStartedAt instant
	rate           float64
	disk           disk
	// joining is set from the loss of the disk until this keeper counts as a voter again.
	joining bool
	// formerVersion makes this keeper's host add others without their incarnation, and remember the
	// added ones itself.
	formerVersion bool
	added         map[identifier.HostID]identifier.Incarnation
	queuedInputs  []Input
	applied       identifier.LogIndex
	timerAt       instant
}

// disk holds what is synced and what is written but not yet synced.
type disk struct {
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
	unsynced []Persist
	syncing  bool
	// sync is how long a sync takes; zero means as long as the simulation says.
	sync time.Duration
	// refuses makes all writes wait, in order; none is reported meanwhile.
	refuses bool
	// delayed are the snapshots that wait for a disk that refuses writes.
	delayed []Snapshot
}

func (disk *disk) write(persist Persist) {
	disk.hard = persist.HardState
	if persist.Snapshot != nil {
		disk.snapshot = persist.Snapshot
		disk.entries = nil
	}
	if persist.TruncateFrom != 0 {
		disk.entries = slices.DeleteFunc(disk.entries, func(entry Entry) bool { return entry.Index >= persist.TruncateFrom })
	}
	disk.entries = append(disk.entries, persist.Entries...)
}

func (disk *disk) saveSnapshot(snapshot Snapshot, keep identifier.LogIndex) {
	if disk.snapshot != nil && disk.snapshot.Index >= snapshot.Index {
		return
	}
	disk.snapshot = &snapshot
	disk.entries = slices.DeleteFunc(disk.entries, func(entry Entry) bool { return entry.Index+keep <= snapshot.Index })
}

// register is the state machine: the last command and a running hash of all commands.
type register struct {
	index identifier.LogIndex
	value uint64
	hash  uint64
}

func (register *register) Apply(index identifier.LogIndex, data []byte) []byte {
	previous := register.value
	register.index = index
	register.value = binary.LittleEndian.Uint64(data)
	register.hash = (register.hash ^ register.value) * 1099511628211
	return binary.LittleEndian.AppendUint64(nil, previous)
}

func (register *register) Snapshot() []byte {
	data := binary.LittleEndian.AppendUint64(nil, uint64(register.index))
	data = binary.LittleEndian.AppendUint64(data, register.value)
	return binary.LittleEndian.AppendUint64(data, register.hash)
}

func (register *register) Restore(data []byte) error {
	if len(data) != 24 {
		return fmt.Errorf("snapshot of %d bytes", len(data))
	}
	register.index = identifier.LogIndex(binary.LittleEndian.Uint64(data))
	register.value = binary.LittleEndian.Uint64(data[8:])
	register.hash = binary.LittleEndian.Uint64(data[16:])
	return nil
}

func newSimulation(seed uint64, hosts int, settings Settings) *simulation {
	simulation := &simulation{
		settings:    settings,
		random:      rand.New(rand.NewPCG(seed, 1)),
		oneWay:      time.Millisecond,
		sync:        4 * time.Millisecond,
		maxDowntime: 100 * time.Millisecond,
		cut:         make(map[[2]identifier.HostID]bool),
		oracle:      newOracle(),
	}
	var members []Member
	for number := range hosts {
		members = append(members, Member{Host: hostName(number)})
	}
	for number := range hosts {
		simulation.addKeeper(hostName(number), members)
	}
	return simulation
}

func hostName(number int) identifier.HostID { return identifier.HostID(fmt.Sprintf("k%d", number)) }

func (simulation *simulation) addKeeper(host identifier.HostID, initial []Member) *keeper {
	keeper := &keeper{host: host, initial: initial}
	simulation.keepers = append(simulation.keepers, keeper)
	simulation.start(keeper)
	return keeper
}

// start runs a keeper on the contents of its disk, with a clock that starts at a random time
// and is exact, slow or fast by the whole drift bound.
func (simulation *simulation) start(keeper *keeper) {
	keeper.alive = true
	keeper.paused = false
	keeper.incarnation++
	keeper.applied = 0
	keeper.clockBase = identifier.Moment(simulation.random.Int64N(int64(time.Hour)))
	keeper.clockStartedAt = simulation.now
	drift := float64(simulation.settings.ClockDriftBound) / 1000
	keeper.rate = 1 + drift*float64(simulation.random.IntN(3)-1)
	keeper.register = &register{}
	keeper.replicator = &Replicator{
		Self:           keeper.host,
		Seed:           simulation.random.Uint64(),
		Settings:       simulation.settings,
		InitialMembers: keeper.initial,
		Joining:        keeper.joining,
		Incarnation:    identifier.Incarnation(keeper.incarnation),
		StateMachine:   keeper.register,
	}
	restored := Restored{HardState: keeper.disk.hard, Snapshot: keeper.disk.snapshot, Entries: slices.Clone(keeper.disk.entries)}
	if restored.Snapshot != nil {
		keeper.applied = restored.Snapshot.Index
	}
	simulation.input(keeper, restored)
}

// crash loses what is not synced, except for a random number of writes that still reached the
// disk.
func (simulation *simulation) crash(keeper *keeper) {
	keeper.alive = false
	keeper.incarnation++
	survivors := 0
	if !keeper.disk.refuses {
		survivors = simulation.random.IntN(len(keeper.disk.unsynced) + 1)
	}
	for _, persist := range keeper.disk.unsynced[:survivors] {
		keeper.disk.write(persist)
	}
	keeper.disk.unsynced = nil
	keeper.disk.delayed = nil
	keeper.disk.syncing = false
	keeper.queuedInputs = nil
}

// resume ends a pause; queued inputs are processed at once.
func (simulation *simulation) resume(keeper *keeper) {
	keeper.paused = false
	inputs := keeper.queuedInputs
	keeper.queuedInputs = nil
	simulation.input(keeper, inputs...)
}

func (simulation *simulation) schedule(at instant, act func()) {
	simulation.order++
	heap.Push(&simulation.events, event{at: at, order: simulation.order, act: act})
}

// scheduleFor runs act unless the keeper has crashed by then.
func (simulation *simulation) scheduleFor(keeper *keeper, at instant, act func()) {
	incarnation := keeper.incarnation
	simulation.schedule(at, func() {
		if keeper.alive && keeper.incarnation == incarnation {
			act()
		}
	})
}

func (simulation *simulation) runFor(duration time.Duration) {
	until := simulation.now + duration
	for len(simulation.events) > 0 && simulation.events[0].at <= until {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.act()
	}
	simulation.now = until
}

func (keeper *keeper) clock(now instant) identifier.Moment {
	return keeper.clockBase + identifier.Moment(float64(now-keeper.clockStartedAt)*keeper.rate)
}

func (simulation *simulation) input(keeper *keeper, inputs ...Input) {
	if !keeper.alive {
		return
	}
	if keeper.paused {
		keeper.queuedInputs = append(keeper.queuedInputs, inputs...)
		return
	}
	simulation.steps++
	outputs := keeper.replicator.Tick(keeper.clock(simulation.now), inputs)
	for _, output := range outputs {
		simulation.execute(keeper, output)
	}
	simulation.oracle.observe(keeper)
	simulation.armTimer(keeper)
	if len(keeper.disk.unsynced) > 0 && simulation.random.IntN(1000) < simulation.crashShare {
		simulation.crash(keeper)
		incarnation := keeper.incarnation
		back := simulation.now + time.Duration(simulation.random.Int64N(int64(simulation.maxDowntime)))
		simulation.schedule(back, func() {
			if !keeper.alive && keeper.incarnation == incarnation {
				simulation.start(keeper)
			}
		})
	}
}

func (simulation *simulation) armTimer(keeper *keeper) {
	deadline := keeper.replicator.NextDeadline()
	if deadline == identifier.Never {
		return
	}
	wait := float64(deadline-keeper.clock(simulation.now)) / keeper.rate
	at := simulation.now + max(0, time.Duration(wait)) + time.Microsecond
	keeper.timerAt = at
	simulation.scheduleFor(keeper, at, func() {
		if keeper.timerAt == at {
			simulation.input(keeper)
		}
	})
}

func (simulation *simulation) execute(keeper *keeper, output Output) {
	switch output := output.(type) {
	case Send:
		simulation.transmit(keeper, output)
	case Persist:
		keeper.disk.unsynced = append(keeper.disk.unsynced, output)
		simulation.startSync(keeper)
	case SaveSnapshot:
		simulation.scheduleFor(keeper, simulation.now+3*simulation.sync, func() {
			simulation.saveSnapshot(keeper, output.Snapshot)
		})
	case Applied:
		simulation.oracle.checkApplied(keeper, output)
	case Joined:
		keeper.joining = false
	case SnapshotInstalled:
		simulation.oracle.checkInstalled(keeper, output)
	case Halted:
		simulation.oracle.addViolation("%s halted: %v", keeper.host, output.Err)
	case ProposalOutcome:
		simulation.oracle.checkOutcome(output)
		if simulation.onOutcome != nil {
			simulation.onOutcome(keeper, output)
		}
	case ReadReady:
		simulation.oracle.checkRead(keeper, output)
		if simulation.onRead != nil {
			simulation.onRead(keeper, output.Handle, true)
		}
	case ReadRefused:
		if simulation.onRead != nil {
			simulation.onRead(keeper, output.Handle, false)
		}
	}
}

func (simulation *simulation) saveSnapshot(keeper *keeper, snapshot Snapshot) {
	if keeper.disk.refuses {
		keeper.disk.delayed = append(keeper.disk.delayed, snapshot)
		return
	}
	keep := identifier.LogIndex(simulation.settings.EntriesKeptBehindSnapshot)
	keeper.disk.saveSnapshot(snapshot, keep)
	simulation.input(keeper, SnapshotSaved{Index: snapshot.Index})
}

// acceptWrites ends the refusal of writes by a keeper's disk.
func (simulation *simulation) acceptWrites(keeper *keeper) {
	keeper.disk.refuses = false
	delayed := keeper.disk.delayed
	keeper.disk.delayed = nil
	if len(keeper.disk.unsynced) > 0 {
		simulation.startSync(keeper)
	}
	for _, snapshot := range delayed {
		simulation.saveSnapshot(keeper, snapshot)
	}
}

// startSync syncs everything that is written by the time it begins in one go.
func (simulation *simulation) startSync(keeper *keeper) {
	if keeper.disk.syncing || keeper.disk.refuses {
		return
	}
	keeper.disk.syncing = true
	simulation.scheduleFor(keeper, simulation.now, func() {
		count := len(keeper.disk.unsynced)
		simulation.scheduleFor(keeper, simulation.now+cmp.Or(keeper.disk.sync, simulation.sync), func() {
			for _, persist := range keeper.disk.unsynced[:count] {
				keeper.disk.write(persist)
			}
			sequence := keeper.disk.unsynced[count-1].Sequence
			keeper.disk.unsynced = slices.Clone(keeper.disk.unsynced[count:])
			keeper.disk.syncing = false
			if len(keeper.disk.unsynced) > 0 {
				simulation.startSync(keeper)
			}
			simulation.input(keeper, Persisted{Sequence: sequence})
		})
	})
}

func (simulation *simulation) find(host identifier.HostID) *keeper {
	for _, keeper := range simulation.keepers {
		if keeper.host == host {
			return keeper
		}
	}
	return nil
}

// leader returns the running leader of the highest term, or nil.
func (simulation *simulation) leader() *keeper {
	var leading *keeper
	highest := identifier.Term(0)
	for _, keeper := range simulation.keepers {
		if !keeper.alive || keeper.paused || keeper.replicator.Role() != RoleLeader {
			continue
		}
		if _, term := keeper.replicator.Leader(); term > highest {
			leading, highest = keeper, term
		}
	}
	return leading
}
