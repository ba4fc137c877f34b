// Package replicator decides how the keepers agree on one replicated log. It is
// Raft as published (Ongaro 2014) with pre-vote, check-quorum, a leader lease,
// single-server membership changes with learners, chunked snapshots, pipelined
// appends and leadership transfer.
//
// The package is pure: it has no clock, socket, disk, goroutine or global random
// source. A caller feeds a Replicator with inputs through Tick and carries out the
// outputs in their order. Messages that promise durability are held back inside
// the Replicator until the caller reports the Persist that they rest on as
// Persisted, so that a caller cannot send them too early by mistake.
//
// docs/dev/REPLICATION.md has the design, the ways weighed and the proofs.
package replicator

//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text
//go:generate enumer -type=EntryKind -trimprefix=Entry -transform=kebab -text
//go:generate enumer -type=MemberRole -trimprefix=Member -transform=kebab -text
//go:generate enumer -type=ChangeKind -trimprefix=Change -transform=kebab -text
//go:generate enumer -type=OutcomeKind -trimprefix=Outcome -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text
