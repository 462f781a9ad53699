package main

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/peer"
)

// tlsSynopsis lists the flags of tlsFlags for the synopsis of a command.
const tlsSynopsis = "[-tls-certificate FILE -tls-key FILE -tls-authority FILE]"

// tlsFlags are the flags for mutual TLS with the peer listeners of nodes.
type tlsFlags struct {
	files pb.Tls
}

func (f *tlsFlags) add(inv *invocation) {
	inv.flags.StringVar(&f.files.CertificateFile, "tls-certificate", "", "certificate `FILE` for mutual TLS with the nodes")
	inv.flags.StringVar(&f.files.KeyFile, "tls-key", "", "key `FILE` of the certificate")
	inv.flags.StringVar(&f.files.AuthorityFile, "tls-authority", "", "`FILE` with the certificate of the certificate authority")
}

// anySet reports whether at least one of the flags is set.
func (f *tlsFlags) anySet() bool {
	return f.files.CertificateFile+f.files.KeyFile+f.files.AuthorityFile != ""
}

// check reports a usage error if only some of the flags are set. Otherwise a key or an
// authority without a certificate would be ignored and the connection would use plain TCP.
func (f *tlsFlags) check(inv *invocation) (code int, ok bool) {
	complete := f.files.CertificateFile != "" && f.files.KeyFile != "" && f.files.AuthorityFile != ""
	if f.anySet() && !complete {
		return inv.usageError("flags -tls-certificate, -tls-key and -tls-authority must be set together"), false
	}
	return exitOK, true
}

// credentials reads the files. If no flag is set, both credentials are nil, which means
// plain TCP.
func (f *tlsFlags) credentials() (peer.CredentialPair, error) {
	return peer.Credentials(&f.files)
}
