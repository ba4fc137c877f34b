package identifier

// RunNumber numbers the runs of one task. The first is 1; a later run has a higher number.
type RunNumber uint32

// ServiceName is the name of a pool of backend servers that serve the same queues.
type ServiceName string

// QueueName is the name of a queue in the configuration.
type QueueName string

// ServerTime is a reading of one backend server's own monotonic clock, in milliseconds.
// It is never compared with another clock.
type ServerTime int64
