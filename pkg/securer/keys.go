package securer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
)

// Keys holds the key files of one process and reads them again when they change.
// Set the exported fields before Load.
type Keys struct {
	// CertificateFile and KeyFile hold the own pair in PEM; both are empty for one
	// who shows no certificate.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that sign the other side's, in PEM.
	AuthorityFile string
	// Owner is whom the own certificate must name; nil checks nothing.
	Owner *Identity
	// Log gets a line for each change of the files.
	Log *log.Logger

	mutex   sync.Mutex
	inForce *bundle
	seen    [3]stamp
}

// bundle is what stands in the files at one time.
type bundle struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files for the first time.
func (keys *Keys) Load() error {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	keys.seen = keys.stamps()
	read, err := keys.read()
	if err != nil {
		return err
	}
	keys.inForce = read
	return nil
}

// current returns what is in force, after a look at the files. Each handshake
// looks, so no signal and no restart is needed. New files that don't fit together
// (as in the moment between the copying of one and of the other), that have
// expired or that name another stay out of force: taking them would cut the host
// off from all others at once. The log line is how one notices.
func (keys *Keys) current() *bundle {
	keys.mutex.Lock()
	defer keys.mutex.Unlock()
	found := keys.stamps()
	if found == keys.seen {
		return keys.inForce
	}
	keys.seen = found
	read, err := keys.read()
	if err != nil {
		keys.Log.Error("changed key files not taken, the earlier ones stay in force",
			"certificate", keys.CertificateFile, "authority", keys.AuthorityFile, "err", err)
		return keys.inForce
	}
	keys.inForce = read
	keys.Log.Info("changed key files in force", "certificate", keys.CertificateFile,
		"authority", keys.AuthorityFile, "expires", read.expiry())
	return keys.inForce
}

func (keys *Keys) stamps() [3]stamp {
	var stamps [3]stamp
	for index, file := range []string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile} {
		if file == "" {
			continue
		}
		// A file that is missing has the zero stamp; read tells why it can't be had.
		if info, err := os.Stat(file); err == nil {
			stamps[index] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}

func (keys *Keys) read() (*bundle, error) {
	authorities, err := readAuthorities(keys.AuthorityFile)
	if err != nil {
		return nil, err
	}
	read := &bundle{authorities: authorities}
	if keys.CertificateFile == "" {
		return read, nil
	}
	pair, err := tls.LoadX509KeyPair(keys.CertificateFile, keys.KeyFile)
	if err != nil {
		return nil, newError("read key pair", ErrorFiles, err)
	}
	read.certificate = &pair
	return read, keys.checkOwn(read)
}

// checkOwn refuses a pair that every other host would refuse.
func (keys *Keys) checkOwn(read *bundle) error {
	leaf := read.certificate.Leaf
	now := time.Now()
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return newError("check key pair", ErrorExpired, eris.Errorf("the certificate is valid from %s to %s",
			leaf.NotBefore.UTC().Format(time.RFC3339), leaf.NotAfter.UTC().Format(time.RFC3339)))
	}
	if keys.Owner == nil {
		return nil
	}
	if err := Names(leaf, *keys.Owner); err != nil {
		return err
	}
	chain, err := chainOf(read.certificate)
	if err != nil {
		return err
	}
	return verify(chain, read.authorities, x509.ExtKeyUsageAny)
}

// Expires returns when the certificate in force ends, as RFC 3339 in UTC.
func (keys *Keys) Expires() string { return keys.current().expiry() }

func (read *bundle) expiry() string {
	if read.certificate == nil {
		return "none"
	}
	return read.certificate.Leaf.NotAfter.UTC().Format(time.RFC3339)
}

func readAuthorities(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, newError("read authorities", ErrorFiles, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, newError("read authorities", ErrorFiles, eris.Errorf("%s holds no certificate in PEM", file))
	}
	return pool, nil
}

func chainOf(pair *tls.Certificate) ([]*x509.Certificate, error) {
	var chain []*x509.Certificate
	for _, raw := range pair.Certificate {
		certificate, err := x509.ParseCertificate(raw)
		if err != nil {
			return nil, newError("parse certificate", ErrorFiles, err)
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}

// verify checks the first certificate of a chain against the authorities.
func verify(chain []*x509.Certificate, authorities *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return newError("verify certificate", ErrorUntrusted, eris.New("the other side showed no certificate"))
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return newError("verify certificate", ErrorUntrusted, err)
	}
	return nil
}
