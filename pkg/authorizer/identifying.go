package authorizer

import (
	"crypto/sha256"
	"crypto/x509"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// maxTokenLength bounds a token.
const maxTokenLength = 512

// The reasons why somebody isn't known. They don't say how close a guess was.
var (
	errNobody       = eris.New("send a token as \"Authorization: Bearer TOKEN\" or show a certificate")
	errMalformed    = eris.New("the Authorization header must be one \"Bearer TOKEN\"")
	errUnknownToken = eris.New("the token is unknown or has expired")
	errOtherKind    = eris.New("the certificate must name exactly one caller, operator or reader")
)

// identify finds out who sends a request. A token goes before a certificate, so
// that a proxy with a certificate can hand on its clients' tokens.
func (authorizer *Authorizer) identify(request *http.Request, now time.Time) (*Principal, error) {
	headers := request.Header.Values("Authorization")
	if len(headers) > 1 {
		return nil, errMalformed
	}
	if len(headers) == 1 {
		token, err := parseBearer(headers[0])
		if err != nil {
			return nil, err
		}
		return authorizer.byToken(token, now)
	}
	if request.TLS == nil || len(request.TLS.VerifiedChains) == 0 {
		return nil, errNobody
	}
	return byCertificate(request.TLS.PeerCertificates[0])
}

func (authorizer *Authorizer) byToken(token string, now time.Time) (*Principal, error) {
	if authorizer.Tokens == nil {
		return nil, errUnknownToken
	}
	entry, found := authorizer.Tokens.lookup(sha256.Sum256([]byte(token)))
	if !found || (!entry.expires.IsZero() && now.After(entry.expires)) {
		return nil, errUnknownToken
	}
	return &entry.principal, nil
}

// parseBearer returns the token of an Authorization header (RFC 6750).
func parseBearer(header string) (string, error) {
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", errMalformed
	}
	token = strings.TrimLeft(token, " ")
	if !isToken(token) {
		return "", errMalformed
	}
	return token, nil
}

// isToken tells whether text is of the characters of a bearer token.
func isToken(text string) bool {
	body := strings.TrimRight(text, "=")
	if body == "" || len(text) > maxTokenLength {
		return false
	}
	for index := range len(body) {
		char := body[index]
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		digit := char >= '0' && char <= '9'
		if !letter && !digit && !strings.ContainsRune("-._~+/", rune(char)) {
			return false
		}
	}
	return true
}

// byCertificate returns whom a verified certificate names. One that names a host
// too is as good; one that names two who may send requests is not, as nobody could
// tell which of them does.
func byCertificate(certificate *x509.Certificate) (*Principal, error) {
	identities, err := securer.IdentitiesOf(certificate)
	if err != nil {
		return nil, errOtherKind
	}
	var found *Principal
	for _, identity := range identities {
		principal := principalOf(identity)
		if principal == nil {
			continue
		}
		if found != nil {
			return nil, errOtherKind
		}
		found = principal
	}
	if found == nil {
		return nil, errOtherKind
	}
	return found, nil
}

func principalOf(identity securer.Identity) *Principal {
	switch identity.Kind {
	case securer.KindCaller:
		return &Principal{
			Role: RoleCaller, Name: identity.Name,
			Caller: identifier.CallerID(identity.Name), Team: identifier.TeamID(identity.Scope),
		}
	case securer.KindOperator:
		return &Principal{Role: RoleOperator, Name: identity.Name}
	case securer.KindReader:
		return &Principal{Role: RoleReader, Name: identity.Name}
	default:
		return nil
	}
}
