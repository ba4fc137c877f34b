// Package gossiper keeps the membership of the system's own hosts and spreads
// small versioned records among them. It follows SWIM (Das, Gupta, Motivala
// 2002): probes, indirect probes, suspicion that the suspect may refute, and
// updates that ride on other messages; with late ticks stretching the timeouts
// as in Lifeguard (Dadgar, Phillips, Currey 2018), and digests that find and
// mend whatever the updates missed. Probes run densely inside a failure domain
// and sparsely between them.
//
// The package only decides: messages and moments go in, messages and changes
// come out. docs/dev/MEMBERSHIP.md gives its measured times and costs.
package gossiper

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Gossiper is one host's view of the others. Set the exported fields, then call
// Tick whenever NextDeadline falls due or an input arrives.
type Gossiper struct {
	// Self describes this host.
	Self Member
	// Seeds are hosts known from the settings; Host and Addresses.Peers are
	// used. Self among them is ignored.
	Seeds []Member
	// Seed makes the random choices repeatable; it should differ between hosts.
	Seed     uint64
	Settings Settings

	started   bool
	startedAt identifier.Moment
	joined    bool
	// joinAttempts counts the rounds of asking seeds.
	joinAttempts int
	joinEnds     identifier.Moment
	random       *rand.Rand
	now          identifier.Moment
	outputs      []Output
	// introduced is the sender of the message in hand if it described itself.
	introduced *Member

	members *tabulator.Table[identifier.HostID, memberEntity]
	cluster *tabulator.Table[string, Record]
	rumors  *tabulator.Table[rumorKey, rumor]
	probes  *tabulator.Table[uint64, probe]
	relays  *tabulator.Table[uint64, relay]
	digest  uint64

	sequence    uint64
	localHealth int
	// healthRecovery is when one late tick less is counted.
	healthRecovery identifier.Moment
	localProbes    int
	localWheel     []identifier.HostID
	remoteWheel    []identifier.HostID
	lostCursor     int

	nextLocalProbe  identifier.Moment
	nextRemoteProbe identifier.Moment
	nextSuspicion   identifier.Moment
	nextFlush       identifier.Moment
	nextJoin        identifier.Moment
	nextLostProbe   identifier.Moment
	nextSync        identifier.Moment
	nextForget      identifier.Moment
	nextReturnSync  identifier.Moment

	localMismatches  int
	remoteMismatches int
}

// memberEntity is all that is known about one host, this one included.
type memberEntity struct {
	state   State
	records *tabulator.Table[string, Record]
	// hash is the member's part of the digest; zero unless it is living.
	hash        uint64
	recordsHash uint64
	// suspicionStarted and suspicionEnds hold while the status is suspect.
	suspicionStarted identifier.Moment
	suspicionEnds    identifier.Moment
	// raised tells that this host's own probe failed, so that it is this host
	// which goes on pinging the suspect.
	raised   bool
	nextPing identifier.Moment
	forgetAt identifier.Moment
	// patience stretches the probes of a member that refuted lately.
	patience     int
	patienceEnds identifier.Moment
	// graced tells that the suspicion was prolonged once after a late tick.
	graced bool
	// disputed tells that two descriptions of the same incarnation were seen.
	disputed bool
}

// Tick takes the inputs, then runs every system that is due at now.
func (gossiper *Gossiper) Tick(now identifier.Moment, inputs []Input) []Output {
	gossiper.outputs = nil
	late := gossiper.started && now.Sub(gossiper.NextDeadline()) > gossiper.Settings.LateTolerance
	gossiper.now = now
	if !gossiper.started {
		gossiper.start()
	}
	// Inputs go first: an answer that waited while this host was busy must not
	// count as missing.
	for _, input := range inputs {
		gossiper.take(input)
	}
	gossiper.noteLateness(late)
	gossiper.expireProbes(late)
	gossiper.expireRelays()
	gossiper.expireSuspicions(late)
	gossiper.probeLocal()
	gossiper.probeRemote()
	gossiper.join()
	gossiper.probeLost()
	gossiper.forget()
	gossiper.flushRumors()
	return gossiper.outputs
}

// NextDeadline returns when Tick wants to run next without any input.
func (gossiper *Gossiper) NextDeadline() identifier.Moment {
	if !gossiper.started {
		return 0
	}
	next := min(gossiper.nextLocalProbe, gossiper.nextRemoteProbe, gossiper.nextSuspicion,
		gossiper.nextFlush, gossiper.nextJoin, gossiper.nextLostProbe, gossiper.nextForget)
	gossiper.probes.Each(func(_ uint64, pending *probe) bool {
		next = min(next, pending.deadline)
		return true
	})
	return next
}

func (gossiper *Gossiper) start() {
	gossiper.started = true
	gossiper.startedAt = gossiper.now
	gossiper.random = rand.New(rand.NewPCG(gossiper.Seed, gossiper.Seed^0x9e3779b97f4a7c15))
	gossiper.members = tabulator.New[identifier.HostID, memberEntity]()
	gossiper.cluster = tabulator.New[string, Record]()
	gossiper.rumors = tabulator.New[rumorKey, rumor]()
	gossiper.probes = tabulator.New[uint64, probe]()
	gossiper.relays = tabulator.New[uint64, relay]()
	// A new process must not take answers to the one before it for its own.
	gossiper.sequence = uint64(gossiper.random.Uint32())
	self := newMemberEntity(State{Member: gossiper.Self})
	gossiper.members.Put(gossiper.Self.Host, self)
	gossiper.rehash(self)
	gossiper.nextFlush = identifier.Never
	gossiper.tell(memberRumor(gossiper.Self.Host), originated)
	// The first probes are spread, so that hosts which start together do not go
	// on probing at the same moments.
	settings := gossiper.Settings
	gossiper.nextLocalProbe = gossiper.spread(settings.LocalProbeInterval)
	gossiper.nextRemoteProbe = gossiper.spread(settings.RemoteProbeInterval)
	gossiper.nextLostProbe = gossiper.spread(settings.LostProbeInterval)
	gossiper.nextJoin = gossiper.now
	gossiper.nextSuspicion = identifier.Never
	gossiper.nextForget = identifier.Never
}

func newMemberEntity(state State) *memberEntity {
	return &memberEntity{
		state:         state,
		records:       tabulator.New[string, Record](),
		suspicionEnds: identifier.Never,
		nextPing:      identifier.Never,
		forgetAt:      identifier.Never,
	}
}

func (gossiper *Gossiper) emit(output Output) {
	gossiper.outputs = append(gossiper.outputs, output)
}

func (gossiper *Gossiper) self() *memberEntity {
	return gossiper.members.Get(gossiper.Self.Host)
}

func (gossiper *Gossiper) isLocal(entity *memberEntity) bool {
	return entity.state.Member.FailureDomain == gossiper.Self.FailureDomain
}
