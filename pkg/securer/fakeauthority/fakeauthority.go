// Package fakeauthority makes authorities and key files for tests.
package fakeauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority signs certificates for one test.
type Authority struct {
	// File holds its certificate.
	File string

	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New makes an authority with a folder of its own.
func New(tb testing.TB) *Authority {
	tb.Helper()
	authority := &Authority{folder: tb.TempDir(), key: newKey(tb), serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &authority.key.PublicKey, authority.key)
	if err != nil {
		tb.Fatal(err)
	}
	if authority.certificate, err = x509.ParseCertificate(raw); err != nil {
		tb.Fatal(err)
	}
	authority.File = filepath.Join(authority.folder, "authority.pem")
	write(tb, authority.File, "CERTIFICATE", raw)
	return authority
}

// Issue writes a pair that names the identities and 127.0.0.1, valid until
// notAfter, and returns the files.
func (authority *Authority) Issue(tb testing.TB, name string, notAfter time.Time, identities ...string) (certificateFile, keyFile string) {
	tb.Helper()
	certificateFile = filepath.Join(authority.folder, name+".pem")
	keyFile = filepath.Join(authority.folder, name+"-key.pem")
	key := newKey(tb)
	authority.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	for _, identity := range identities {
		address, err := url.Parse(identity)
		if err != nil {
			tb.Fatal(err)
		}
		template.URIs = append(template.URIs, address)
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		tb.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		tb.Fatal(err)
	}
	write(tb, certificateFile, "CERTIFICATE", raw)
	write(tb, keyFile, "PRIVATE KEY", encoded)
	return certificateFile, keyFile
}

func newKey(tb testing.TB) *ecdsa.PrivateKey {
	tb.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	return key
}

func write(tb testing.TB, file, kind string, raw []byte) {
	tb.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		tb.Fatal(err)
	}
}
