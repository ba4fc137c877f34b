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
	// receivedBytes is the largest message that is received; gRPC's own bound of 4 MiB
	// is less than a tick's starts may have.
	receivedBytes = 64 << 20
	// probeInterval is the silence after which an entry host is probed. Entry hosts
	// bear probes that are at least 5s apart.
	probeInterval = 10 * time.Second
	probeTimeout  = 5 * time.Second
)

// credentials secure a connection. The other side must be a host of the own
// failure domain: it tells this server what to run.
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
