package upgrade

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// canaryReplicas is the number of replicas that receive the canary requests. The
	// fewer they are, the earlier each has enough answers to be judged; with three, a fault
	// of one of them can be told from a fault of the version.
	canaryReplicas = 3
	// minLoadRate is the number of requests per second that the replicas of a load phase
	// receive together, if no more than half of the new replicas are needed for it.
	minLoadRate = 20.0
)

// inTurn returns the IDs of replicas, from the data centres in turn.
func inTurn(replicas []*registry.Replica) []string {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b *registry.Replica) int { return strings.Compare(a.ID, b.ID) })
	var ids []string
	for len(sorted) > 0 {
		used := make(map[string]bool)
		sorted = slices.DeleteFunc(sorted, func(r *registry.Replica) bool {
			if used[r.DataCentre] {
				return false
			}
			used[r.DataCentre] = true
			ids = append(ids, r.ID)
			return true
		})
	}
	return ids
}

// trialOf returns the new replicas that receive requests in a phase. rate is that of the
// service's requests per second, and faults holds the shares of bad answers of the replicas
// that have answered. The load phases prefer those with the fewest: a replica that is
// faulty or out of reach tests nothing.
func trialOf(phase Phase, replicas []*registry.Replica, rate float64, faults map[string]float64) []string {
	ids := inTurn(replicas)
	if phase == Canary {
		return ids[:min(canaryReplicas, len(ids))]
	}
	share := func(id string) float64 {
		if s, answered := faults[id]; answered {
			return s
		}
		return 1
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(share(a), share(b)) })
	count := int(math.Ceil(minLoadRate * float64(len(ids)) / max(rate, 1)))
	count = max(1, min(count, (len(ids)+1)/2))
	switch {
	case phase == Load:
		return ids[:min(count, len(ids))]
	case phase == Confirm && len(ids) > count:
		return ids[count:min(2*count, len(ids))]
	case phase == Confirm:
		return ids
	}
	return nil
}
