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

// hostCheck accepts certificates of one host. A host that the settings list must be in its own
// failure domain; otherwise one failure domain's keys would let their holder act for another. A
// host known only by membership must be in one of the deployment's failure domains.
func hostCheck(settings *loader.Settings, host identifier.HostID) securer.Check {
	domains := slices.Clone(settings.FailureDomains)
	for _, listed := range settings.Hosts {
		domains = append(domains, listed.FailureDomain)
	}
	if own := listedDomain(settings, host); own != "" {
		domains = []identifier.FailureDomain{own}
	}
	return func(certificate *x509.Certificate) error {
		return checkIdentity(certificate, func(identity securer.Identity) bool {
			return identity.Kind == securer.KindHost && identity.Name == string(host) &&
				slices.Contains(domains, identifier.FailureDomain(identity.Scope))
		}, "host "+string(host)+" of its failure domain")
	}
}

// anyHostCheck accepts certificates of any host; the stream checks which one it is.
func anyHostCheck(certificate *x509.Certificate) error {
	return checkIdentity(certificate, func(identity securer.Identity) bool { return identity.Kind == securer.KindHost }, "a host")
}

// serverCheck accepts certificates of one backend server of this failure domain or, if the name is
// empty, of any.
func serverCheck(settings *loader.Settings, server identifier.BackendServerID) securer.Check {
	return func(certificate *x509.Certificate) error {
		return checkIdentity(certificate, func(identity securer.Identity) bool {
			return identity.Kind == securer.KindBackendServer && identity.Scope == string(settings.FailureDomain) &&
				(server == "" || identity.Name == string(server))
		}, "backend server "+string(server)+" of this failure domain")
	}
}

func checkIdentity(certificate *x509.Certificate, wanted func(securer.Identity) bool, what string) error {
	identities, err := securer.IdentitiesOf(certificate)
	if err != nil {
		return newError("check certificate", ErrorRefused, err)
	}
	if !slices.ContainsFunc(identities, wanted) {
		return newError("check certificate", ErrorRefused, eris.Errorf("the certificate names %v and not %s", identities, what))
	}
	return nil
}

// checkStream checks the certificate of a stream's connection. Without keys there is nothing to
// check.
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

// certificateOf returns the peer certificate of a stream's connection.
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

// clientCredentials returns the credentials for connecting to a host; without keys the connection
// is in the clear.
func clientCredentials(keys *securer.Keys, check securer.Check) credentials.TransportCredentials {
	if keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(keys.Client(check))
}

// serverCredentials returns the credentials of a listener; without keys its connections are in the
// clear.
func serverCredentials(keys *securer.Keys, check securer.Check) credentials.TransportCredentials {
	if keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(keys.MutualServer(check))
}
