package coordinator_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/coordinator"
)

// Guards against a fleet whose small nodes read the whole store at once when all coordinators
// are lost: at any size they use a quarter of the calls that the store accepts.
func TestNodesWithoutCoordinatorsTurnToTheStoreInTurn(t *testing.T) {
	c := qt.New(t)
	for _, fleet := range []struct{ coordinators, nodes, pages, reads int }{
		{2, 6, 1, 2000}, {6, 73, 7, 6000}, {60, 925, 54, 16000}, {120, 1850, 108, 16000},
	} {
		table := coordinator.NewTable(coordinator.Member{Node: "small", Capacity: 0.2})
		f := coordinator.Fleet{Revision: 1}
		for i := range fleet.coordinators {
			f.Members = append(f.Members, coordinator.Member{Node: fmt.Sprint("c", i), Capacity: 0.8})
		}
		table.Update(f)
		spread := table.FollowSpread(coordinator.StoreLoad{
			Pages: fleet.pages, Senders: 2 * fleet.nodes / fleet.coordinators, ReadsPerSecond: float64(fleet.reads),
		}, 2)
		perSecond := float64(fleet.nodes*fleet.pages) / max(spread.Seconds(), 0.001)
		c.Check(spread == 0 || perSecond <= 0.26*float64(fleet.reads), qt.IsTrue, qt.Commentf("%+v: %v", fleet, spread))
		if fleet.nodes < 100 {
			c.Check(spread == 0, qt.IsTrue, qt.Commentf("%+v: %v", fleet, spread))
		}
	}
}
