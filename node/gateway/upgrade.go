package gateway

import (
	"maps"
	"slices"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/upgrade"
)

// upgradeStatus returns the upgrades that operators have ordered, as this node sees them.
func (g *Gateway) upgradeStatus() []*pb.UpgradeStatus {
	view := g.directory.View()
	if view == nil {
		return nil
	}
	var list []*pb.UpgradeStatus
	for _, service := range slices.Sorted(maps.Keys(view.Upgrades)) {
		u := view.Upgrades[service]
		s := &pb.UpgradeStatus{Service: service, Version: u.Order.Version, State: u.State().String(), Leader: u.Leader.Node}
		if r, ok := g.forwarder.UpgradeReport(service); ok {
			s.Phase, s.Requests, s.Exposed = r.Phase.String(), uint64(r.Requests), uint64(r.Exposed)
		}
		list = append(list, s)
	}
	return list
}

// reportUpgrades sets the gauges of the upgrades that run.
func (g *Gateway) reportUpgrades(set func(name string, value float64)) {
	running, requests, exposed := 0, uint64(0), uint64(0)
	for _, s := range g.upgradeStatus() {
		if s.GetState() == upgrade.Running.String() {
			running++
			requests, exposed = requests+s.GetRequests(), exposed+s.GetExposed()
		}
	}
	set("upgrades_running", float64(running))
	set("upgrade_requests", float64(requests))
	set("upgrade_exposed", float64(exposed))
}
