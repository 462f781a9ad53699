package peer_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/standin/authority"
	"github.com/carobmill/carobmill/standin/memnet"
)

// writeKeys writes a certificate and key of a new certificate authority, and the
// authority's certificate, and returns the settings that name the three files.
func writeKeys(c *qt.C, folder string) *pb.Tls {
	a, err := authority.New()
	c.Assert(err, qt.IsNil)
	files, err := a.Issue(folder)
	c.Assert(err, qt.IsNil)
	return files
}

// A server accepts a node with a certificate of its authority and rejects one with a
// certificate of another authority. After the files are replaced by those of the other
// authority, the server accepts the new certificates and rejects the former ones, without
// a restart.
func TestPeersAreAuthenticatedAndKeysReloaded(t *testing.T) {
	oldKeys, newKeys := t.TempDir(), t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		served := writeKeys(c, oldKeys)
		creds, err := peer.Credentials(served)
		c.Assert(err, qt.IsNil)
		network := memnet.New(time.Millisecond)
		l, err := network.Listen("server", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := peer.NewServer(configNode{}, nil, nil, creds.Server)
		go func() { _ = server.Serve(l) }()
		defer server.Stop()

		// accepted reports whether the server accepts a node with the keys of a folder.
		accepted := func(folder string) bool {
			keys, err := peer.Credentials(authority.Files(folder))
			c.Assert(err, qt.IsNil)
			pool := peer.NewPool(keys.Client, network.Dialer("client"))
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err = peer.NewClient(pool, configNode{}).Pull(ctx, l.Addr().String(), &pb.PullConfigurationRequest{})
			return err == nil
		}
		writeKeys(c, newKeys)
		c.Assert(accepted(oldKeys), qt.IsTrue)
		c.Assert(accepted(newKeys), qt.IsFalse, qt.Commentf("certificate of another authority"))

		former := t.TempDir()
		for _, name := range []string{"cert.pem", "key.pem", "authority.pem"} {
			copyFile(c, filepath.Join(oldKeys, name), filepath.Join(former, name))
			copyFile(c, filepath.Join(newKeys, name), filepath.Join(oldKeys, name))
		}
		time.Sleep(time.Minute)
		c.Assert(accepted(newKeys), qt.IsTrue, qt.Commentf("certificate of the renewed authority"))
		c.Assert(accepted(former), qt.IsFalse, qt.Commentf("certificate of the former authority"))
	})
}

func copyFile(c *qt.C, from, to string) {
	content, err := os.ReadFile(from)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(to, content, 0o600), qt.IsNil)
}
