// Package digester replicates digests of the submissions that a lead has started, spilled or
// answered. They go to the other hosts of the home and to witnesses in other failure domains, after
// the fact, so that no answer waits for them.
//
// Two hosts of the home hold the record of a submission. If both are lost, a new lead that finds a
// digest without a record knows that the submission isn't new, and starts nothing of it.
//
// The package has no side effects: Tick takes the time and events, and returns messages.
package digester

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings holds the limits and intervals of a Digester.
type Settings struct {
	// Retention is how long a digest is kept at most.
	Retention time.Duration
	// BatchInterval is the minimum time between two batches to one host.
	BatchInterval time.Duration
	// BatchDigests bounds one batch.
	BatchDigests int
	// MaxDigests bounds the digests of one home. Beyond it new ones are dropped.
	MaxDigests int
	// QueryTimeout is how long a takeover waits for the reply of a host.
	QueryTimeout time.Duration
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{
		Retention:     10 * time.Minute,
		BatchInterval: 10 * time.Millisecond,
		BatchDigests:  100,
		MaxDigests:    500_000,
		QueryTimeout:  3 * time.Second,
	}
}

// resentAge is the age up to which digests are sent again by a new lead.
const resentAge = 10 * time.Second

// Digester stores the digests of the own failure domain and, as a witness, those of others. Set the
// exported fields before the first Tick.
type Digester struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings
	// HasPeers reports whether the settings name other hosts of the failure domain.
	HasPeers bool

	now  identifier.Moment
	sets map[identifier.FailureDomain]*digestSet
	// expiryScheduled reports whether a deadline for the removal of expired digests is set.
	expiryScheduled bool
	// ledCells are the cells that this host leads. Only leads send digests.
	ledCells map[messenger.CellNumber]bool
	// hosts are the other live hosts, receivers those that store the digests of this home.
	hosts     []Host
	receivers *tabulator.Table[identifier.HostID, receiver]
	// collecting reports whether a takeover waits for the replies of pending hosts.
	collecting bool
	// requested reports whether this host leads a cell and may lack digests.
	requested bool
	queries   *tabulator.Table[identifier.HostID, query]
	timers    *tabulator.Timers[timerKey]
	outputs   []Output
}

// Tick applies the inputs, handles the deadlines that are due and returns the outputs for its owner
// to carry out.
func (digester *Digester) Tick(now identifier.Moment, inputs []Input) []Output {
	digester.prepare(now)
	for _, input := range inputs {
		digester.apply(input)
	}
	digester.timers.EachDue(now, digester.expire)
	digester.sendDue()
	outputs := digester.outputs
	digester.outputs = nil
	return outputs
}

// NextDeadline returns the time at which Tick must run even without inputs, or identifier.Never.
func (digester *Digester) NextDeadline() identifier.Moment {
	if digester.timers == nil {
		return identifier.Never
	}
	return digester.timers.Next()
}

// KindOf returns the kind of the digest of a submission of the own failure domain.
func (digester *Digester) KindOf(submission identifier.SubmissionID) messenger.DigestKind {
	set := digester.sets[digester.FailureDomain]
	if set == nil {
		return messenger.DigestNone
	}
	return set.kindOf(messenger.DigestOf(submission))
}

// IsLastHost reports whether this host has peers in its failure domain but none of them is live. What
// it answers may be lost with it before a witness has the digest.
func (digester *Digester) IsLastHost() bool {
	return digester.HasPeers && !slices.ContainsFunc(digester.hosts, func(host Host) bool {
		return host.FailureDomain == digester.FailureDomain
	})
}

func (digester *Digester) prepare(now identifier.Moment) {
	digester.now = now
	if digester.timers != nil {
		return
	}
	digester.sets = make(map[identifier.FailureDomain]*digestSet)
	digester.ledCells = make(map[messenger.CellNumber]bool)
	digester.receivers = tabulator.New[identifier.HostID, receiver]()
	digester.queries = tabulator.New[identifier.HostID, query]()
	digester.timers = tabulator.NewTimers[timerKey]()
}

func (digester *Digester) apply(input Input) {
	switch input := input.(type) {
	case *SubmissionRecorded:
		digester.record(input)
	case *HostsChanged:
		digester.handleHostsChanged(input.Hosts)
	case *LeadTaken:
		digester.handleLeadTaken(input.Cell)
	case *LeadLost:
		digester.handleLeadLost(input.Cell)
	case *Reconnected:
		digester.handleReconnected(input.Host)
	case *BatchArrived:
		digester.store(&input.Batch)
	case *QueryArrived:
		digester.reply(input)
	case *ReplyArrived:
		digester.handleReply(input)
	case *DigestsRequested:
		digester.handleRequest()
	}
}

// record adds a submission that this host, as its lead, has started, spilled or answered.
func (digester *Digester) record(input *SubmissionRecorded) {
	recorded := entry{digest: messenger.DigestOf(input.Submission), kind: input.Kind, recordedAt: digester.now}
	if !digester.add(digester.FailureDomain, recorded) || !digester.leads() {
		return
	}
	digester.receivers.Each(func(_ identifier.HostID, receiver *receiver) bool {
		receiver.pending = append(receiver.pending, recorded)
		return true
	})
}

// store adds the digests of a batch. Their ages keep them from being retained longer at each host
// that they are sent to.
func (digester *Digester) store(batch *messenger.DigestBatch) {
	for _, group := range batch.Groups {
		recordedAt := digester.now.Add(-group.Age)
		for _, digest := range group.Digests {
			digester.add(batch.Home, entry{digest: digest, kind: group.Kind, recordedAt: recordedAt})
		}
	}
}

// add adds a digest and reports whether it says more than the one that was known.
func (digester *Digester) add(home identifier.FailureDomain, added entry) bool {
	set := digester.sets[home]
	if set == nil {
		set = newDigestSet(digester.Settings.Retention)
		digester.sets[home] = set
	}
	if set.kindOf(added.digest) >= added.kind || set.expired(added.recordedAt, digester.now) {
		return false
	}
	if set.count() >= digester.Settings.MaxDigests {
		digester.reportDropped(home, set)
		return false
	}
	set.add(added)
	digester.scheduleExpiry()
	return true
}

// reportDropped reports once for each full set that further digests are dropped.
func (digester *Digester) reportDropped(home identifier.FailureDomain, set *digestSet) {
	if !set.full {
		set.full = true
		digester.emit(&CapacityReached{Home: home, Digests: set.count()})
	}
}

// scheduleExpiry schedules the removal of expired digests, unless it is scheduled already.
func (digester *Digester) scheduleExpiry() {
	if !digester.expiryScheduled {
		digester.expiryScheduled = true
		digester.timers.Set(timerKey{kind: timerExpiry}, nextGenerationAt(digester.now, digester.Settings.Retention))
	}
}

// expireSets removes expired digests, and the sets that are empty then.
func (digester *Digester) expireSets() {
	digester.expiryScheduled = false
	for home, set := range digester.sets {
		set.expire(digester.now)
		if set.count() == 0 {
			delete(digester.sets, home)
		}
	}
	if len(digester.sets) > 0 {
		digester.scheduleExpiry()
	}
}

func (digester *Digester) emit(output Output) {
	digester.outputs = append(digester.outputs, output)
}
