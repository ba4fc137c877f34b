package identifier

// RunNumber counts the runs of one task. The first is 1; a later run has a higher one.
type RunNumber uint32

// ServiceName names a pool of backend servers that serve the same queues.
type ServiceName string

// QueueName names one queue of the configuration.
type QueueName string

// ServerTime is a reading of one backend server's own steady clock, in milliseconds.
// It is never compared with another clock.
type ServerTime int64
