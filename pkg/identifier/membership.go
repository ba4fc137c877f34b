package identifier

// Region names a region: a group of failure domains that lie close together.
type Region string

// CellID numbers a cell within its failure domain; the first is 0.
type CellID int

// Incarnation numbers the lives of one host: a process that starts takes a
// higher one than the process of the same name before it.
type Incarnation uint64
