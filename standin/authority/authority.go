// Package authority is a test certificate authority for mutual TLS between nodes.
// It stands in for the operators' own authority and writes the files that the node
// settings and the operator tool refer to.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// validityMargin is how long certificates are valid before and after the time of
	// issue.
	validityMargin = time.Hour

	certificateFile = "cert.pem"
	keyFile         = "key.pem"
	authorityFile   = "authority.pem"
	fileMode        = 0o600
)

// Authority issues certificates for one fleet.
type Authority struct {
	der  []byte
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := certificate(1, "authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return &Authority{der: der, cert: cert, key: key}, nil
}

// Files returns the paths of the files that Issue writes into a folder.
func Files(folder string) *pb.Tls {
	return &pb.Tls{
		CertificateFile: filepath.Join(folder, certificateFile),
		KeyFile:         filepath.Join(folder, keyFile),
		AuthorityFile:   filepath.Join(folder, authorityFile),
	}
}

// Issue writes a new node certificate, its key and the authority's certificate into
// a folder, overwriting existing files, and returns their paths.
func (a *Authority) Issue(folder string) (*pb.Tls, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate node key")
	}
	template := certificate(2, "node")
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, errors.Wrap(err, "create node certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode node key")
	}
	files := Files(folder)
	for _, f := range []struct {
		name, kind string
		der        []byte
	}{
		{files.GetCertificateFile(), "CERTIFICATE", der},
		{files.GetKeyFile(), "EC PRIVATE KEY", keyDER},
		{files.GetAuthorityFile(), "CERTIFICATE", a.der},
	} {
		block := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.name, block, fileMode); err != nil {
			return nil, errors.Wrap(err, "write certificate files")
		}
	}
	return files, nil
}

func certificate(serial int64, name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validityMargin),
		NotAfter:     now.Add(validityMargin),
	}
}
