package connector

import "google.golang.org/grpc"

// streamWindow is the flow-control window of each stream and connection, in bytes.
// A window that gRPC sizes by itself costs a ping and its answer for nearly every
// message of a stream that trickles, which was a fifth of a lead's processor time.
// One MiB carries 100 MB/s over a round trip of 10 ms, and it bounds what a peer
// can make this host hold.
const streamWindow = 1 << 20

// maxMessage bounds a message that this host receives, in bytes. gRPC's own bound
// of 4 MiB is under what one job within the limits takes; a stream that it cuts
// would be cut again by the same message.
const maxMessage = 64 << 20

// ServerOptions are the options of the gRPC servers of a host.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(streamWindow),
		grpc.MaxRecvMsgSize(maxMessage),
	}
}
