// Package gossiper maintains the membership of the system's own hosts and distributes small
// versioned records among them. It follows SWIM (Das, Gupta, Motivala 2002): probes, indirect
// probes, suspicions that the suspect may refute, and updates that are piggybacked on other
// messages. Late ticks extend the timeouts as in Lifeguard (Dadgar, Phillips, Currey 2018), and
// digests detect whatever the updates missed, so that it is repaired. Probes are frequent inside a
// failure domain and infrequent between failure domains.
//
// The package does no I/O and reads no clock: messages and the current time go in, messages and
// changes come out. docs/dev/MEMBERSHIP.md lists its detection times and costs.
package gossiper

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Gossiper is one host's view of the others. Set the exported fields, then call Tick whenever
// NextDeadline is due or an input arrives.
type Gossiper struct {
	// Self describes this host. Its incarnation is raised when a peer knows a higher or a
	// conflicting one.
	Self Member
	// Seeds are the hosts known from the settings. Only Host and Addresses.Peers are used; an entry
	// for Self is ignored.
	Seeds []Member
	// Seed makes the random choices reproducible. It should differ between hosts.
	Seed     uint64
	Settings Settings

	started   bool
	startedAt identifier.Moment
	joined    bool
	// joinAttempts counts the rounds of sync requests to seeds.
	joinAttempts  int
	joinSettlesAt identifier.Moment
	random        *rand.Rand
	now           identifier.Moment
	outputs       []Output
	// senderMember is the sender's description of itself in the message being handled, if any.
	senderMember *Member

	members *tabulator.Table[identifier.HostID, memberEntity]
	cluster *tabulator.Table[string, Record]
	rumors  *tabulator.Table[rumorKey, rumor]
	probes  *tabulator.Table[uint64, probe]
	relays  *tabulator.Table[uint64, relay]
	digest  uint64
	version Version

	sequence    uint64
	healthScore int
	// nextHealthRecovery is when healthScore drops by one.
	nextHealthRecovery identifier.Moment
	localProbeCount    int
	localProbeOrder    []identifier.HostID
	remoteProbeOrder   []identifier.HostID
	lostCursor         int

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

// Version counts the changes of the members' states within one process.
type Version uint64

// memberEntity is all that is known about one host, this one included.
type memberEntity struct {
	state   State
	records *tabulator.Table[string, Record]
	// hash is the member's part of the digest; zero unless the member is living.
	hash        uint64
	recordsHash uint64
	// suspicionStarted and suspicionEnds are valid while the status is suspect.
	suspicionStarted identifier.Moment
	suspicionEnds    identifier.Moment
	// ownProbeFailed reports that this host's own probe failed. Only then does this host go on
	// pinging the suspect.
	ownProbeFailed bool
	nextPing       identifier.Moment
	forgetAt       identifier.Moment
	// extraTimeouts extends the probes of a member that refuted a suspicion recently.
	extraTimeouts    int
	extraTimeoutsEnd identifier.Moment
	// suspicionExtended reports that the suspicion was extended once after a late tick.
	suspicionExtended bool
	// conflicting reports that two different descriptions of the same incarnation were received.
	conflicting bool
}

// Tick handles the inputs, then everything that is due at now, and returns the outputs.
func (gossiper *Gossiper) Tick(now identifier.Moment, inputs []Input) []Output {
	gossiper.outputs = nil
	late := gossiper.started && now.Sub(gossiper.NextDeadline()) > gossiper.Settings.LateTolerance
	gossiper.now = now
	if !gossiper.started {
		gossiper.start()
	}
	// Inputs are handled first: an answer that was queued while this host was busy must not count as
	// missing.
	for _, input := range inputs {
		gossiper.handleInput(input)
	}
	gossiper.recordLateness(late)
	gossiper.expireProbes(late)
	gossiper.expireRelays()
	gossiper.expireSuspicions(late)
	gossiper.probeLocal()
	gossiper.probeRemote()
	gossiper.join()
	gossiper.probeLost()
	gossiper.forgetExpired()
	gossiper.flushRumors()
	return gossiper.outputs
}

// NextDeadline returns when Tick has to be called next if no input arrives before. It is 0 before
// the first tick.
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
	// A random start of the sequence keeps answers to this host's previous process from matching.
	gossiper.sequence = uint64(gossiper.random.Uint32())
	self := newMemberEntity(State{Member: gossiper.Self})
	gossiper.members.Put(gossiper.Self.Host, self)
	gossiper.version++
	gossiper.updateDigest(self)
	gossiper.nextFlush = identifier.Never
	gossiper.enqueueRumor(memberRumor(gossiper.Self.Host), originated)
	// The first probes are at random times, so that hosts that start together do not go on probing
	// at the same moments.
	settings := gossiper.Settings
	gossiper.nextLocalProbe = gossiper.randomMoment(settings.LocalProbeInterval)
	gossiper.nextRemoteProbe = gossiper.randomMoment(settings.RemoteProbeInterval)
	gossiper.nextLostProbe = gossiper.randomMoment(settings.LostProbeInterval)
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
