package connector

import (
	"context"
	"crypto/x509"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// hostCheck accepts certificates of one host. A host that the settings list must
// stand in its own failure domain: else one failure domain's keys would let their
// holder speak for another. A host that is only known by membership must stand in
// one of the deployment's.
func hostCheck(settings *loader.Settings, host identifier.HostID) securer.Check {
	domains := slices.Clone(settings.FailureDomains)
	for _, listed := range settings.Hosts {
		domains = append(domains, listed.FailureDomain)
	}
	if own := listedDomain(settings, host); own != "" {
		domains = []identifier.FailureDomain{own}
	}
	return func(certificate *x509.Certificate) error {
		return namesOne(certificate, func(identity securer.Identity) bool {
			return identity.Kind == securer.KindHost && identity.Name == string(host) &&
				slices.Contains(domains, identifier.FailureDomain(identity.Scope))
		}, "host "+string(host)+" of its failure domain")
	}
}

// anyHost accepts certificates of hosts; the stream looks which one it is.
func anyHost(certificate *x509.Certificate) error {
	return namesOne(certificate, func(identity securer.Identity) bool { return identity.Kind == securer.KindHost }, "a host")
}

// serverCheck accepts certificates of one backend server, or with an empty name of
// any of the failure domain.
func serverCheck(settings *loader.Settings, server identifier.BackendServerID) securer.Check {
	return func(certificate *x509.Certificate) error {
		return namesOne(certificate, func(identity securer.Identity) bool {
			return identity.Kind == securer.KindBackendServer && identity.Scope == string(settings.FailureDomain) &&
				(server == "" || identity.Name == string(server))
		}, "backend server "+string(server)+" of this failure domain")
	}
}

func namesOne(certificate *x509.Certificate, wanted func(securer.Identity) bool, what string) error {
	identities, err := securer.IdentitiesOf(certificate)
	if err != nil {
		return newError("check certificate", ErrorRefused, err)
	}
	if !slices.ContainsFunc(identities, wanted) {
		return newError("check certificate", ErrorRefused, eris.Errorf("the certificate names %v and not %s", identities, what))
	}
	return nil
}

// checkStream checks the certificate of the connection that a stream came over.
// Without keys there is none to check.
func checkStream(ctx context.Context, keys *securer.Keys, check securer.Check) error {
	if keys == nil {
		return nil
	}
	certificate, err := certificateOf(ctx)
	if err != nil {
		return err
	}
	return check(certificate)
}

// certificateOf returns the certificate of the connection that a stream came over.
func certificateOf(ctx context.Context) (*x509.Certificate, error) {
	other, found := peer.FromContext(ctx)
	if !found {
		return nil, newError("check stream", ErrorRefused, eris.New("the stream has no connection"))
	}
	secured, isTLS := other.AuthInfo.(credentials.TLSInfo)
	if !isTLS || len(secured.State.PeerCertificates) == 0 {
		return nil, newError("check stream", ErrorRefused, eris.New("the connection has no certificate"))
	}
	return secured.State.PeerCertificates[0], nil
}

// clientCredentials secure a connection to a host, or leave it in the clear where
// there are no keys.
func clientCredentials(keys *securer.Keys, check securer.Check) credentials.TransportCredentials {
	if keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(keys.Client(check))
}

// serverCredentials are the listener's counterpart of clientCredentials.
func serverCredentials(keys *securer.Keys, check securer.Check) credentials.TransportCredentials {
	if keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(keys.MutualServer(check))
}
