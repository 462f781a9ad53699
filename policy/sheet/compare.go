package sheet

import (
	"fmt"
	"sort"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Diff describes the changes from an old sheet to a new one. Names are sorted in
// ascending order.
type Diff struct {
	// Removed, Added and Changed contain replica names. A replica has changed if
	// its data centre, address, state, shards or service differ.
	Removed []string
	Added   []string
	Changed []string
	// RemovedShards and AddedShards contain names of the form
	// service/generation/shard.
	RemovedShards []string
	AddedShards   []string
	// Other lists all other changes, each as a field path with the old and new
	// values.
	Other []string
	// Unserved lists the shards that lose their last replica in service.
	Unserved []string
	Loss     Loss
}

// Empty reports whether Compare found no difference.
func (d Diff) Empty() bool {
	return len(d.Removed)+len(d.Added)+len(d.Changed)+len(d.RemovedShards)+len(d.AddedShards)+len(d.Other) == 0
}

// Compare returns the changes from old to next. old is nil if no sheet was
// accepted before.
func Compare(old, next *pb.Sheet) Diff {
	if old == nil {
		old = &pb.Sheet{}
	}
	old, next = WithDefaults(old), WithDefaults(next)
	before, after := collect(old), collect(next)
	var d Diff
	d.Removed, d.Added, d.Changed = difference(before.replicas, after.replicas)
	d.RemovedShards, d.AddedShards, _ = difference(before.shards, after.shards)
	d.Other = fieldChanges("", old.ProtoReflect(), next.ProtoReflect())
	d.Loss = measureLoss(old, next)
	d.Unserved = unserved(old, next)
	return d
}

// entry is the comparable form of a replica or a shard.
type entry struct {
	service string
	detail  string
}

type contents struct {
	replicas map[string]entry
	shards   map[string]entry
}

func collect(s *pb.Sheet) contents {
	c := contents{replicas: make(map[string]entry), shards: make(map[string]entry)}
	for _, svc := range s.GetServices() {
		for _, gen := range svc.GetGenerations() {
			for _, shard := range gen.GetShards() {
				c.shards[shardName(svc, gen, shard)] = entry{}
				c.addReplicas(svc, gen, shard)
			}
		}
	}
	return c
}

func (c contents) addReplicas(svc *pb.Service, gen *pb.Generation, shard *pb.Shard) {
	for _, r := range shard.GetReplicas() {
		e := c.replicas[r.GetName()]
		e.service = svc.GetName()
		e.detail += fmt.Sprintf("%d/%s %s %s %s;", gen.GetId(), shard.GetName(), r.GetDataCentre(), r.GetAddress(), r.GetState())
		c.replicas[r.GetName()] = e
	}
}

func difference(before, after map[string]entry) (removed, added, changed []string) {
	for name, e := range before {
		current, ok := after[name]
		switch {
		case !ok:
			removed = append(removed, name)
		case current != e:
			changed = append(changed, name)
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			added = append(added, name)
		}
	}
	sort.Strings(removed)
	sort.Strings(added)
	sort.Strings(changed)
	return removed, added, changed
}
