package scenario_test

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/bench/bounds"
)

// wallClockVariable is the environment variable that enables the checks of processor time,
// which depends on the hardware.
const wallClockVariable = "CAROBMILL_WALL_CLOCK"

// Guards against more platform calls of an idle fleet of eight nodes. The rate limits of
// the platform do not grow in proportion to the fleet.
func TestIdleFleetCallsThePlatformWithinBounds(t *testing.T) {
	runInVirtualTime(t, deployment.Options{Sheet: exampleSheet(t, "timing")}, func(t *testing.T, d *deployment.Deployment) {
		time.Sleep(startupTime)
		before := d.Platform.Calls()
		time.Sleep(time.Minute)
		after := d.Platform.Calls()
		bounds.Check(t, "bounds.txt", "idle-fleet-8", map[string]float64{
			"platform-calls/minute": float64(after.Total() - before.Total()),
			"vm-lists/minute":       float64(after.VMLists - before.VMLists),
		})
	})
}

// Guards against larger scatter messages per subrequest.
func TestScatterMessagesAreWithinBounds(t *testing.T) {
	request, response := scatterMessages(100)
	bounds.Check(t, "bounds.txt", "scatter-100", map[string]float64{
		"request-bytes/subrequest":  float64(proto.Size(request)) / 100,
		"response-bytes/subrequest": float64(proto.Size(response)) / 100,
	})
}

// Guards against more processor time per query, and per subrequest in the owner's backend
// client. The bounds are wide because the times depend on the hardware. The test runs on
// demand:
//
//	CAROBMILL_WALL_CLOCK=1 go test ./node/scenario -run TestWallClockIsWithinBounds -v
func TestWallClockIsWithinBounds(t *testing.T) {
	if os.Getenv(wallClockVariable) == "" {
		t.Skip("set " + wallClockVariable + " to compare processor time with wallclock.txt")
	}
	for name, run := range map[string]func(*testing.B){
		"query-100-4": func(b *testing.B) { measureQueryCost(b, 100, 4) },
		"attempt-1":   func(b *testing.B) { measureAttemptCost(b, 1) },
		"attempt-8":   func(b *testing.B) { measureAttemptCost(b, 8) },
	} {
		result := testing.Benchmark(run)
		qt.Assert(t, result.N > 0, qt.IsTrue, qt.Commentf("%s did not run", name))
		bounds.Check(t, "wallclock.txt", name, result.Extra)
	}
}
