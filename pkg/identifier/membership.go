package identifier

// Region is the name of a group of failure domains that are close to each other.
type Region string

// CellID numbers a cell within its failure domain; the first is 0.
type CellID int

// Incarnation numbers the successive processes of one host: a process that starts uses a
// higher number than the previous process of the same name.
type Incarnation uint64
