package connector

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// minKeepaliveInterval is the shortest interval at which the other side may send keepalive pings.
const minKeepaliveInterval = 5 * time.Second

// errHandshakeTimeout means that the other side opened a stream but sent no first message in time.
var errHandshakeTimeout = eris.New("no first message within the handshake timeout")

// NewServer returns the gRPC server for the other hosts.
func (peers *Peers) NewServer() *grpc.Server {
	return newServer(peers.Settings, serverCredentials(peers.Keys, anyHostCheck))
}

// NewServer returns the gRPC server for backend servers.
func (servers *Servers) NewServer() *grpc.Server {
	return newServer(servers.Settings, serverCredentials(servers.Keys, serverCheck(servers.Settings, "")))
}

// newServer returns a gRPC server with bounded connections. A host that vanishes without closing
// its connections would otherwise keep its streams open forever; unanswered keepalive pings close
// them. A connection without a stream is closed as idle.
func newServer(settings *loader.Settings, secured credentials.TransportCredentials) *grpc.Server {
	bounds := &settings.Connections
	return grpc.NewServer(
		grpc.Creds(secured),
		grpc.ConnectionTimeout(bounds.HandshakeTimeout.Std()),
		grpc.MaxConcurrentStreams(uint32(bounds.Streams)),
		grpc.MaxRecvMsgSize(int(bounds.Message)),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(streamWindow),
		grpc.ReadBufferSize(connectionBuffer),
		grpc.WriteBufferSize(connectionBuffer),
		grpc.MaxHeaderListSize(uint32(settings.Limits.RequestHeader)),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: settings.Timeouts.IdleTimeout.Std(),
			Time:              bounds.KeepaliveInterval.Std(),
			Timeout:           bounds.KeepaliveTimeout.Std(),
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
	)
}

// keepaliveParams returns the client-side keepalive settings.
func keepaliveParams(settings *loader.Settings) grpc.DialOption {
	bounds := &settings.Connections
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{
		Time: bounds.KeepaliveInterval.Std(), Timeout: bounds.KeepaliveTimeout.Std(),
	})
}

// receiveFirst receives the first message of a stream, or fails with errHandshakeTimeout. After an
// error the caller must return, which ends the stream and with it the receiving goroutine.
func receiveFirst[Message any](settings *loader.Settings, receive func() (Message, error)) (Message, error) {
	type outcome struct {
		message Message
		err     error
	}
	received := make(chan outcome, 1)
	go func() {
		message, err := receive()
		received <- outcome{message: message, err: err}
	}()
	timer := time.NewTimer(settings.Connections.HandshakeTimeout.Std())
	defer timer.Stop()
	select {
	case ended := <-received:
		return ended.message, ended.err
	case <-timer.C:
		var none Message
		return none, errHandshakeTimeout
	}
}
