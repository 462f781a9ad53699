package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/standin/authority"
)

// A data centre is set out of service in the accepted sheet. sheet publish finds the eight
// nodes through the platform's VM list, and returns only when all of them have the version
// in force.
func TestPublishedDataCentreStateIsInForceOnAllNodes(t *testing.T) {
	c := qt.New(t)
	s, faults := sheetfile.Load(kenyaSheet)
	c.Assert(faults, qt.HasLen, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	fleet, err := deployment.Start(t.Context(), deployment.Options{Sheet: s, Log: log})
	c.Assert(err, qt.IsNil)
	defer fleet.Close()

	_, accepted, _ := runTool("sheet", "show", "-platform", fleet.PlatformURL, "-fleet", s.GetFleet())
	old := "{name: nakuru-1, region: kenya, state: in_service}"
	c.Assert(strings.Contains(accepted, old), qt.IsTrue, qt.Commentf("%.500s", accepted))
	file := filepath.Join(c.TempDir(), "out.yaml")
	out := strings.Replace(accepted, old, "{name: nakuru-1, region: kenya, state: out}", 1)
	c.Assert(os.WriteFile(file, []byte(out), 0o600), qt.IsNil)

	code, report := runPublish(c, file, "-platform", fleet.PlatformURL, "-timeout", "10s")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%+v", report.InForce))
	c.Assert(report.InForce.Nodes, qt.Equals, len(fleet.Nodes))
	t.Logf("version %d in force on %d nodes after %d ms", report.Version, report.InForce.Nodes, report.InForce.TookMs)

	code, stdout, _ := runTool("status", "-node", fleet.Nodes[0].Settings.GetAdminAddress())
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(stdout, qt.Contains, "configuration version 2 in force on 8")
	c.Assert(stdout, qt.Matches, `(?s).*\nnakuru-1 +out +2 +0 +0 .*\nthika-1 +in service +2 +2 +0 .*`)
}

// Guards against disclosing status over a peer listener with TLS: without a certificate, or
// with a certificate of another authority, the tool prints no status.
func TestStatusOverTLSRequiresCertificateOfFleetAuthority(t *testing.T) {
	c := qt.New(t)
	s, faults := sheetfile.Load(kenyaSheet)
	c.Assert(faults, qt.HasLen, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	issue := func() *pb.Tls {
		a, err := authority.New()
		c.Assert(err, qt.IsNil)
		files, err := a.Issue(c.TempDir())
		c.Assert(err, qt.IsNil)
		return files
	}
	keys := issue()
	fleet, err := deployment.Start(t.Context(), deployment.Options{
		Sheet: s, NodesPerDataCentre: 1, Log: log,
		Settings: func(s *pb.Settings) { s.Tls = keys },
	})
	c.Assert(err, qt.IsNil)
	defer fleet.Close()
	status := func(keys *pb.Tls) (int, string) {
		args := []string{"status", "-peer", fleet.Nodes[0].Settings.GetPeerAddress(), "-fleet", s.GetFleet()}
		if keys != nil {
			args = append(args, "-tls-certificate", keys.GetCertificateFile(), "-tls-key", keys.GetKeyFile(),
				"-tls-authority", keys.GetAuthorityFile())
		}
		code, stdout, _ := runTool(args...)
		return code, stdout
	}
	code, stdout := status(keys)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(stdout, qt.Contains, "configuration version 1 in force on 4")
	for _, rejected := range []*pb.Tls{nil, issue()} {
		code, stdout = status(rejected)
		c.Assert(code, qt.Equals, exitFailed)
		c.Assert(stdout, qt.Equals, "")
	}
}
