// Package replicator implements the consensus by which the keepers agree on one replicated
// log. It is Raft as published (Ongaro 2014) with pre-vote, check-quorum, a leader lease,
// single-server membership changes with learners, chunked snapshots, pipelined appends and
// leadership transfer.
//
// The package is deterministic: it has no clock, socket, disk, goroutine or global random
// source. A caller passes inputs to a Replicator through Tick and carries out the outputs in
// their order. Messages that promise durability are withheld inside the Replicator until the
// caller has reported the Persist that they depend on as Persisted, so a caller cannot send
// them too early by mistake.
//
// docs/dev/REPLICATION.md describes the design, the alternatives considered and the proofs.
package replicator

//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text
//go:generate enumer -type=EntryKind -trimprefix=Entry -transform=kebab -text
//go:generate enumer -type=MemberRole -trimprefix=Member -transform=kebab -text
//go:generate enumer -type=ChangeKind -trimprefix=Change -transform=kebab -text
//go:generate enumer -type=OutcomeKind -trimprefix=Outcome -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text
