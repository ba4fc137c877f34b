package loader

//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text -output=role_enumer.go

// Role is one of the things that a host does.
type Role int

const (
	// RoleEntry serves callers and backend servers.
	RoleEntry Role = iota + 1
	// RoleKeeper holds the replicated log on its disk.
	RoleKeeper
)
