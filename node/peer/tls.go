package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// reloadInterval is the minimum time between two reads of the certificate files.
const reloadInterval = 10 * time.Second

// CredentialPair holds the credentials for the client and the server side of
// connections. Both are nil without TLS.
type CredentialPair struct {
	Client credentials.TransportCredentials
	Server credentials.TransportCredentials
}

// Credentials returns credentials for mutual TLS from the files named in settings, or an
// empty pair if settings name no certificate file. The files are reloaded at intervals, so
// certificates are renewed without a restart.
func Credentials(settings *pb.Tls) (CredentialPair, error) {
	if settings.GetCertificateFile() == "" {
		return CredentialPair{}, nil
	}
	k := &keyFiles{settings: settings}
	if err := k.load(time.Now()); err != nil {
		return CredentialPair{}, err
	}
	client := &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The default verification also checks the host name, but peers are addressed
		// by IP addresses that change with every VM. VerifyPeerCertificate verifies
		// the chain up to the certificate authority instead.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: k.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}
	server := &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		VerifyPeerCertificate: k.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.certificate()
		},
	}
	return CredentialPair{Client: credentials.NewTLS(client), Server: credentials.NewTLS(server)}, nil
}

// keyFiles holds the loaded content of the certificate, key and authority files.
type keyFiles struct {
	settings *pb.Tls

	// mu guards the fields below.
	mu        sync.Mutex
	cert      *tls.Certificate
	authority *x509.CertPool
	loaded    time.Time
}

// load reads the files. The caller holds mu or has exclusive access.
func (k *keyFiles) load(now time.Time) error {
	cert, err := tls.LoadX509KeyPair(k.settings.GetCertificateFile(), k.settings.GetKeyFile())
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(k.settings.GetAuthorityFile())
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("certificate authority file %s contains no certificate", k.settings.GetAuthorityFile())
	}
	k.cert = &cert
	k.authority = pool
	k.loaded = now
	return nil
}

// refresh reloads the files if reloadInterval has passed. If the reload fails, the loaded
// certificates stay in use. The caller holds mu.
func (k *keyFiles) refresh() {
	if now := time.Now(); now.Sub(k.loaded) >= reloadInterval {
		if k.load(now) != nil {
			k.loaded = now
		}
	}
}

func (k *keyFiles) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.cert, nil
}

func (k *keyFiles) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	k.mu.Lock()
	k.refresh()
	authority := k.authority
	k.mu.Unlock()
	certs := make([]*x509.Certificate, 0, len(raw))
	for _, der := range raw {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return errors.Wrap(err, "parse peer certificate")
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range certs[1:] {
		intermediates.AddCert(cert)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer certificate")
}
