package main

import (
	"github.com/carobmill/carobmill/policy/sheet"
)

// maxListed is the maximum number of names per kind of change in text output.
const maxListed = 20

// difference is the JSON form of a sheet.Diff.
type difference struct {
	ReplicasRemoved []string `json:"replicas_removed,omitempty"`
	ReplicasAdded   []string `json:"replicas_added,omitempty"`
	ReplicasChanged []string `json:"replicas_changed,omitempty"`
	ShardsRemoved   []string `json:"shards_removed,omitempty"`
	ShardsAdded     []string `json:"shards_added,omitempty"`
	Other           []string `json:"other,omitempty"`
	ShardsUnserved  []string `json:"shards_unserved,omitempty"`
	Loss            loss     `json:"loss"`
}

type loss struct {
	Replicas    int     `json:"replicas"`
	OldReplicas int     `json:"old_replicas"`
	Shards      int     `json:"shards"`
	OldShards   int     `json:"old_shards"`
	Percent     float64 `json:"percent"`
	Service     string  `json:"service,omitempty"`
}

func newDifference(d sheet.Diff) *difference {
	return &difference{
		ReplicasRemoved: d.Removed,
		ReplicasAdded:   d.Added,
		ReplicasChanged: d.Changed,
		ShardsRemoved:   d.RemovedShards,
		ShardsAdded:     d.AddedShards,
		Other:           d.Other,
		ShardsUnserved:  d.Unserved,
		Loss: loss{
			Replicas:    d.Loss.Replicas,
			OldReplicas: d.Loss.OldReplicas,
			Shards:      d.Loss.Shards,
			OldShards:   d.Loss.OldShards,
			Percent:     d.Loss.Percent,
			Service:     d.Loss.Service,
		},
	}
}

// printDifference prints a difference as text, one change per line.
func (inv *invocation) printDifference(d sheet.Diff) {
	if d.Empty() {
		inv.printf("no difference\n")
		return
	}
	if d.Loss.OldReplicas == 0 {
		inv.printf("no sheet was accepted before; %d replicas are new\n", len(d.Added))
		return
	}
	inv.printNames("- replica", d.Removed)
	inv.printNames("+ replica", d.Added)
	inv.printNames("~ replica", d.Changed)
	inv.printNames("- shard", d.RemovedShards)
	inv.printNames("+ shard", d.AddedShards)
	for _, change := range d.Other {
		inv.printf("~ %s\n", change)
	}
	inv.printNames("! no replica in service for shard", d.Unserved)
	l := d.Loss
	inv.printf("loss: %d of %d replicas, %d of %d shards", l.Replicas, l.OldReplicas, l.Shards, l.OldShards)
	if l.Service != "" {
		inv.printf("; most at service %s, %.1f%%", l.Service, l.Percent)
	}
	inv.printf("\n")
}

func (inv *invocation) printNames(what string, names []string) {
	for i, name := range names {
		if i == maxListed {
			inv.printf("%s: %d more, -o json lists them all\n", what, len(names)-maxListed)
			return
		}
		inv.printf("%s %s\n", what, name)
	}
}
