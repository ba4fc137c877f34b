// Package securer makes the TLS of all listeners and connections of the system:
// it reads key files again when they change, and reads who a certificate names.
package securer

import (
	"crypto/x509"
	"net/url"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// scheme is that of the URIs in certificates that name somebody of the system.
const scheme = "stoathitch"

// Kind tells what a certificate names.
type Kind int

// The kinds of identities.
const (
	// KindHost is a host of the system; its scope is its failure domain.
	KindHost Kind = iota + 1
	// KindBackendServer is a backend server; its scope is its failure domain.
	KindBackendServer
	// KindCaller is a caller; its scope is its team.
	KindCaller
	// KindOperator is an operator; it has no scope.
	KindOperator
	// KindReader may only read the status; it has no scope.
	KindReader
)

// Identity is one that a certificate names by a URI of the form
// stoathitch://SCOPE/KIND/NAME, such as stoathitch://thu-duc/host/thu-duc-entry-0.
type Identity struct {
	Kind  Kind
	Scope string
	Name  string
}

// String returns the URI.
func (identity Identity) String() string {
	address := url.URL{Scheme: scheme, Host: identity.Scope, Path: "/" + identity.Kind.String() + "/" + identity.Name}
	return address.String()
}

// scoped tells whether the kind has a scope.
func (kind Kind) scoped() bool { return kind != KindOperator && kind != KindReader }

// ParseIdentity reads the text of an identity's URI.
func ParseIdentity(text string) (Identity, error) {
	address, err := url.Parse(text)
	if err != nil {
		return Identity{}, newError("parse identity", ErrorIdentity, err)
	}
	return identityOf(address)
}

func identityOf(address *url.URL) (Identity, error) {
	var none Identity
	wrong := func(why string) (Identity, error) {
		return none, newError("parse identity", ErrorIdentity, eris.Errorf("%q %s", address.String(), why))
	}
	if address.Scheme != scheme || address.Opaque != "" || address.User != nil || address.RawQuery != "" || address.Fragment != "" {
		return wrong("is not of the form stoathitch://SCOPE/KIND/NAME")
	}
	kindName, name, found := strings.Cut(strings.TrimPrefix(address.Path, "/"), "/")
	if !found || name == "" {
		return wrong("lacks the kind or the name")
	}
	kind, err := KindString(kindName)
	if err != nil || kind.String() != kindName {
		return wrong("has an unknown kind")
	}
	if kind.scoped() != (address.Host != "") {
		return wrong("must have a scope for a host, a backend server and a caller, and none for others")
	}
	return Identity{Kind: kind, Scope: address.Host, Name: name}, nil
}

// IdentitiesOf lists those that a certificate names. URIs of other schemes are
// passed over; a malformed one of this scheme is an error, so that a misspelt
// certificate is noticed.
func IdentitiesOf(certificate *x509.Certificate) ([]Identity, error) {
	var identities []Identity
	for _, address := range certificate.URIs {
		if address.Scheme != scheme {
			continue
		}
		identity, err := identityOf(address)
		if err != nil {
			return nil, err
		}
		identities = append(identities, identity)
	}
	return identities, nil
}

// Names returns an error unless the certificate names the wanted one.
func Names(certificate *x509.Certificate, wanted Identity) error {
	identities, err := IdentitiesOf(certificate)
	if err != nil {
		return err
	}
	if !slices.Contains(identities, wanted) {
		return newError("check certificate", ErrorIdentity, eris.Errorf("the certificate names %v and not %s", identities, wanted))
	}
	return nil
}
