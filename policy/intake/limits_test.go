package intake_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/intake"
)

const megabyte = 1 << 20

// Guards against limits that together exceed the machine.
func TestLimitsLeaveRoomForTheNode(t *testing.T) {
	c := qt.New(t)
	for _, m := range []intake.Machine{
		{Memory: 64 * megabyte, Descriptors: 1000},
		{Memory: 184 * megabyte, Descriptors: 4100},
		{Memory: 284 * megabyte, Descriptors: 4100},
		{Memory: 536 * megabyte, Descriptors: 8192},
		{Memory: 24 << 30, Descriptors: 1 << 20},
	} {
		l := m.Limits()
		c.Check(l.Memory <= m.HeapLimit()*2/3, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
		c.Check(l.Connections*2 <= m.Descriptors, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
		c.Check(int64(l.Connections)*intake.ConnectionCost <= l.Memory/2, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
		c.Check(l.Connections > 100, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
	}
}

func TestUnknownMachineHasNoLimits(t *testing.T) {
	c := qt.New(t)
	c.Assert(intake.Machine{}.Limits(), qt.Equals, intake.Limits{})
	c.Assert(intake.Machine{}.HeapLimit(), qt.Equals, int64(0))
	c.Assert(intake.Machine{Descriptors: 10}.Limits(), qt.Equals, intake.Limits{Connections: 5})
}

// Guards against limits that reject a single request of the largest legal size.
func TestLargestLegalRequestHasRoom(t *testing.T) {
	c := qt.New(t)
	const maxHeader, maxBody = 16384, 262144
	shortLines := maxHeader / 4
	for _, m := range []struct{ megabytes, shards int64 }{{64, 25}, {184, 90}, {536, 225}} {
		cost := intake.HeadCost(maxHeader, shortLines) + intake.CopiesCost(int(m.shards), shortLines) + maxBody
		room := float64(intake.Machine{Memory: m.megabytes * megabyte}.Limits().Memory) * intake.LargeShare
		c.Check(float64(cost) < room, qt.IsTrue, qt.Commentf("%+v: %d of %.0f", m, cost, room))
	}
}

// Guards against messages between nodes whose buffers are many times their size.
func TestMessageCostCoversItsBuffer(t *testing.T) {
	c := qt.New(t)
	c.Check(intake.MessageCost(10, 500, 1000), qt.Equals, int64(0))
	c.Check(intake.MessageCost(10, 500, 100000) > megabyte+100000, qt.IsTrue)
	c.Check(intake.MessageCost(10, 500, 3*megabyte) > 6*megabyte, qt.IsTrue)
	c.Check(intake.ReceivedCost(10, 500, 1000), qt.Equals, int64(0))
	c.Check(intake.ReceivedCost(10, 500, 100000) < 110000, qt.IsTrue)
}
