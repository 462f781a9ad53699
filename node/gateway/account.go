package gateway

import pb "github.com/carobmill/carobmill/api/carobmillv1"

// accountStatus returns the accounts with a usage cap and requests at this node, and the node
// that manages the caps.
func (g *Gateway) accountStatus() (list []*pb.AccountStatus, manager string) {
	uses, manager := g.quota.Uses()
	if len(uses) == 0 {
		return nil, ""
	}
	for _, u := range uses {
		list = append(list, &pb.AccountStatus{
			Account: u.Account, Rate: u.Cap.Rate, Burst: u.Cap.Burst, Demand: u.Demand,
			Admitted: u.Admitted, Refused: u.Refused, Exhausted: u.Exhausted,
		})
	}
	return list, manager
}

// reportAccounts sets the gauges of the usage caps.
func (g *Gateway) reportAccounts(set func(name string, value float64)) {
	uses, _ := g.quota.Uses()
	exhausted, admitted, refused := 0, uint64(0), uint64(0)
	for _, u := range uses {
		if u.Exhausted {
			exhausted++
		}
		admitted, refused = admitted+u.Admitted, refused+u.Refused
	}
	set("accounts_active", float64(len(uses)))
	set("accounts_exhausted", float64(exhausted))
	set("account_requests_admitted", float64(admitted))
	set("account_requests_refused", float64(refused))
}
