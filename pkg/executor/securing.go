package executor

import (
	"crypto/x509"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/stoathitch/stoathitch/pkg/securer"
)

const (
	// maxReceivedBytes is the size of the largest message that is accepted; the starts of one
	// tick may exceed gRPC's default limit of 4 MiB.
	maxReceivedBytes = 64 << 20
	// keepaliveInterval is how long an entry host may send nothing before it is pinged. Entry
	// hosts accept pings that are at least 5s apart.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// credentials returns the transport credentials of a connection. The peer must be a host of
// the server's own failure domain, because it decides what this server runs.
func (executor *Executor) credentials() credentials.TransportCredentials {
	if executor.Keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(executor.Keys.Client(executor.checkHost))
}

func (executor *Executor) checkHost(certificate *x509.Certificate) error {
	identities, err := securer.IdentitiesOf(certificate)
	if err != nil {
		return err
	}
	isHost := func(identity securer.Identity) bool {
		return identity.Kind == securer.KindHost && identity.Scope == executor.FailureDomain
	}
	if !slices.ContainsFunc(identities, isHost) {
		return eris.Errorf("the certificate names %v and no host of failure domain %s", identities, executor.FailureDomain)
	}
	return nil
}
