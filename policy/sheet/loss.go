package sheet

import (
	"fmt"
	"slices"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Loss counts the replicas and shards of the old sheet that the new sheet lacks.
// Percent is computed for each service: a fleet-wide percentage would miss the
// complete removal of a small service.
type Loss struct {
	Replicas, OldReplicas int
	Shards, OldShards     int
	// Percent is the largest percentage of replicas or of shards that any one
	// service loses.
	Percent float64
	// Service is the service that loses Percent, or empty if nothing is lost.
	Service string
}

// LossRefusal returns why the next sheet may not replace the old one, or "" if it
// may. A sheet is refused if its loss exceeds its max_loss_percent or if a shard
// loses its last replica in service, unless allow_loss is set.
//
// Without this check, a truncated export, which is often still a valid sheet,
// would remove the missing replicas from the whole fleet. Setting too many data
// centres to out would leave some shards without replicas, and every answer that
// covers those shards would be partial.
func (d Diff) LossRefusal(next *pb.Sheet) string {
	full := WithDefaults(next)
	switch {
	case full.GetAllowLoss():
		return ""
	case d.Loss.Percent > float64(full.GetMaxLossPercent()):
		return fmt.Sprintf("service %s would lose %.1f%% of its replicas or shards, max_loss_percent is %d",
			d.Loss.Service, d.Loss.Percent, full.GetMaxLossPercent())
	case len(d.Unserved) > 0:
		return fmt.Sprintf("%d shards would have no replica in service, the first is %s", len(d.Unserved), d.Unserved[0])
	}
	return ""
}

// unserved lists the shards of the next sheet that have no replica in service,
// except those without one in the old sheet.
func unserved(old, next *pb.Sheet) []string {
	before := make(map[string]bool)
	for _, name := range shardsOutOfService(old) {
		before[name] = true
	}
	return slices.DeleteFunc(shardsOutOfService(next), func(name string) bool { return before[name] })
}

// shardsOutOfService lists the shards that have no replica in service, as
// service/generation/shard.
func shardsOutOfService(s *pb.Sheet) []string {
	out := make(map[string]bool)
	for _, dc := range s.GetDataCentres() {
		out[dc.GetName()] = dc.GetState() == pb.Lifecycle_LIFECYCLE_OUT
	}
	var names []string
	for _, svc := range s.GetServices() {
		for _, gen := range svc.GetGenerations() {
			for _, shard := range gen.GetShards() {
				inService := slices.ContainsFunc(shard.GetReplicas(), func(r *pb.Replica) bool {
					return r.GetState() != pb.Lifecycle_LIFECYCLE_OUT && !out[r.GetDataCentre()]
				})
				if !inService {
					names = append(names, shardName(svc, gen, shard))
				}
			}
		}
	}
	slices.Sort(names)
	return names
}

func shardName(svc *pb.Service, gen *pb.Generation, shard *pb.Shard) string {
	return fmt.Sprintf("%s/%d/%s", svc.GetName(), gen.GetId(), shard.GetName())
}

func measureLoss(old, next *pb.Sheet) Loss {
	var l Loss
	kept := make(map[string]*pb.Service)
	for _, svc := range next.GetServices() {
		kept[svc.GetName()] = svc
	}
	for _, svc := range old.GetServices() {
		successor := kept[svc.GetName()]
		lost, total := lostReplicas(svc, successor)
		l.Replicas += lost
		l.OldReplicas += total
		l.recordMax(svc, lost, total)
		lost, total = lostShards(svc, successor)
		l.Shards += lost
		l.OldShards += total
		l.recordMax(svc, lost, total)
	}
	return l
}

func (l *Loss) recordMax(svc *pb.Service, lost, total int) {
	if total == 0 {
		return
	}
	if percent := 100 * float64(lost) / float64(total); percent > l.Percent {
		l.Percent, l.Service = percent, svc.GetName()
	}
}

func lostReplicas(old, next *pb.Service) (lost, total int) {
	kept := replicaNames(next)
	for name := range replicaNames(old) {
		total++
		if !kept[name] {
			lost++
		}
	}
	return lost, total
}

func replicaNames(svc *pb.Service) map[string]bool {
	names := make(map[string]bool)
	for _, gen := range svc.GetGenerations() {
		for _, shard := range gen.GetShards() {
			for _, r := range shard.GetReplicas() {
				names[r.GetName()] = true
			}
		}
	}
	return names
}

// lostShards counts the lost shards of the old sheet's newest generation. All its
// shards are lost if the next sheet lacks that generation and has no newer one.
// A repartitioning loses none, because it adds a newer generation before it
// removes the old one.
func lostShards(old, next *pb.Service) (lost, total int) {
	newest := newestGeneration(old)
	total = len(newest.GetShards())
	same := generation(next, newest.GetId())
	if same == nil {
		if newestGeneration(next).GetFirstSnapshot() > newest.GetFirstSnapshot() {
			return 0, total
		}
		return total, total
	}
	kept := make(map[string]bool)
	for _, shard := range same.GetShards() {
		kept[shard.GetName()] = true
	}
	for _, shard := range newest.GetShards() {
		if !kept[shard.GetName()] {
			lost++
		}
	}
	return lost, total
}

func newestGeneration(svc *pb.Service) *pb.Generation {
	var newest *pb.Generation
	for _, gen := range svc.GetGenerations() {
		if newest == nil || gen.GetFirstSnapshot() > newest.GetFirstSnapshot() {
			newest = gen
		}
	}
	return newest
}

func generation(svc *pb.Service, id uint64) *pb.Generation {
	for _, gen := range svc.GetGenerations() {
		if gen.GetId() == id {
			return gen
		}
	}
	return nil
}
