package scenario_test

import (
	"io"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/node/sheetfile"
	"github.com/carobmill/carobmill/standin/memnet"
)

// exampleSheet loads the example sheet kenya.yaml with only the named services.
func exampleSheet(t testing.TB, services ...string) *pb.Sheet {
	t.Helper()
	sheet, faults := sheetfile.Load(filepath.Join("..", "..", "examples", "kenya.yaml"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	var selected []*pb.Service
	for _, svc := range sheet.GetServices() {
		for _, name := range services {
			if svc.GetName() == name {
				selected = append(selected, svc)
			}
		}
	}
	sheet.Services = selected
	return sheet
}

// linkDelay is the one-way delay of every connection of the network, also within a data
// centre.
const linkDelay = 500 * time.Microsecond

// runInVirtualTime runs a test over an in-memory network in virtual time. The result does not
// depend on the load of the computer.
func runInVirtualTime(t *testing.T, o deployment.Options, run func(t *testing.T, d *deployment.Deployment)) {
	synctest.Test(t, func(t *testing.T) {
		o.Network = memnet.New(linkDelay)
		run(t, start(t, o))
	})
}

// start starts a deployment and closes it when the test ends.
func start(t testing.TB, o deployment.Options) *deployment.Deployment {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Log = log
	d, err := deployment.Start(t.Context(), o)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(d.Close)
	return d
}
