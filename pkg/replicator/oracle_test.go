package replicator

import (
	"bytes"
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// oracle is the reference model that a run is checked against: one sequence of entries that
// only grows, one leader per term, and a minimum index for every read.
type oracle struct {
	violations []string
	committed  []Entry // position i holds index i+1
	hashes     map[identifier.LogIndex]uint64
	leaders    map[identifier.Term]identifier.HostID
	accepted   identifier.LogIndex
	acceptedAt map[Handle]identifier.LogIndex
	readFloor  map[Handle]identifier.LogIndex
	outcomes   map[Handle]int

	reads, installs, memberships int
}

func newOracle() *oracle {
	return &oracle{
		hashes:     make(map[identifier.LogIndex]uint64),
		leaders:    make(map[identifier.Term]identifier.HostID),
		acceptedAt: make(map[Handle]identifier.LogIndex),
		readFloor:  make(map[Handle]identifier.LogIndex),
		outcomes:   make(map[Handle]int),
	}
}

func (oracle *oracle) addViolation(format string, arguments ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf(format, arguments...))
}

// observe checks that equal prefixes give equal states and that a term never has two leaders.
func (oracle *oracle) observe(keeper *keeper) {
	known, found := oracle.hashes[keeper.applied]
	if found && known != keeper.register.hash {
		oracle.addViolation("%s has another state at %d", keeper.host, keeper.applied)
	}
	oracle.hashes[keeper.applied] = keeper.register.hash
	if keeper.replicator.Role() != RoleLeader {
		return
	}
	_, term := keeper.replicator.Leader()
	if known, found := oracle.leaders[term]; found && known != keeper.host {
		oracle.addViolation("term %d has leaders %s and %s", term, known, keeper.host)
	}
	oracle.leaders[term] = keeper.host
}

// checkApplied checks that every keeper applies the same entries in the same order without a
// gap.
func (oracle *oracle) checkApplied(keeper *keeper, applied Applied) {
	entry := applied.Entry
	if entry.Index != keeper.applied+1 {
		oracle.addViolation("%s applied %d after %d", keeper.host, entry.Index, keeper.applied)
	}
	keeper.applied = entry.Index
	switch {
	case entry.Index == identifier.LogIndex(len(oracle.committed))+1:
		oracle.committed = append(oracle.committed, entry)
		if entry.Kind == EntryMembership {
			oracle.memberships++
		}
	case entry.Index > identifier.LogIndex(len(oracle.committed)):
		oracle.addViolation("%s applied %d beyond %d", keeper.host, entry.Index, len(oracle.committed))
	default:
		known := oracle.committed[entry.Index-1]
		if known.Term != entry.Term || known.Kind != entry.Kind || !bytes.Equal(known.Data, entry.Data) {
			oracle.addViolation("%s applied another entry at %d", keeper.host, entry.Index)
		}
	}
}

func (oracle *oracle) checkInstalled(keeper *keeper, installed SnapshotInstalled) {
	oracle.installs++
	if installed.Index <= keeper.applied {
		oracle.addViolation("%s went back from %d to a snapshot of %d", keeper.host, keeper.applied, installed.Index)
	}
	if installed.Index > identifier.LogIndex(len(oracle.committed)) {
		oracle.addViolation("%s installed a snapshot of %d that nobody applied", keeper.host, installed.Index)
	}
	keeper.applied = installed.Index
}

func (oracle *oracle) checkOutcome(outcome ProposalOutcome) {
	if outcome.Handle == repairHandle {
		return
	}
	oracle.outcomes[outcome.Handle]++
	if oracle.outcomes[outcome.Handle] > 1 {
		oracle.addViolation("proposal %d has two outcomes", outcome.Handle)
	}
	if outcome.Kind == OutcomeAccepted {
		oracle.accepted = max(oracle.accepted, outcome.Index)
		oracle.acceptedAt[outcome.Handle] = outcome.Index
	}
}

// recordReadRequest records the minimum index that a read that begins now must see.
func (oracle *oracle) recordReadRequest(handle Handle) { oracle.readFloor[handle] = oracle.accepted }

func (oracle *oracle) checkRead(keeper *keeper, ready ReadReady) {
	oracle.reads++
	floor := oracle.readFloor[ready.Handle]
	if ready.Index < floor {
		oracle.addViolation("stale read at %s: index %d, accepted before it %d", keeper.host, ready.Index, floor)
	}
	if keeper.applied < ready.Index {
		oracle.addViolation("%s may read at %d having applied %d", keeper.host, ready.Index, keeper.applied)
	}
}

// checkConverged checks, once all faults have ended, that every keeper in members holds all
// entries that were ever accepted, and the same state.
func (oracle *oracle) checkConverged(keepers []*keeper, members []Member) {
	var first *keeper
	for _, keeper := range keepers {
		if _, found := findMember(members, keeper.host); !found {
			continue
		}
		if keeper.applied != identifier.LogIndex(len(oracle.committed)) {
			oracle.addViolation("%s ended at %d of %d", keeper.host, keeper.applied, len(oracle.committed))
		}
		if first == nil {
			first = keeper
		}
		if keeper.register.hash != first.register.hash {
			oracle.addViolation("%s and %s end in different states", first.host, keeper.host)
		}
	}
	if first == nil {
		oracle.addViolation("no member is left")
	}
}
