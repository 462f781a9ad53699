// Package config indexes an accepted configuration for lookups on the query
// path. An Index is immutable. A query uses one Index from start to end, so that
// a configuration change never mixes two partitionings in one answer.
package config

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Index is one configuration version, prepared for lookups. It is immutable after
// New and safe for concurrent use.
type Index struct {
	// Version increases with each accepted configuration. 0 means none.
	Version uint64
	// Raw is the message that the index was built from. It must not be modified.
	Raw         *pb.Configuration
	Services    map[string]*Service
	DataCentres map[string]*DataCentre
	// Replicas maps names to the replicas of all generations.
	Replicas map[string]*Replica
}

// DataCentre is one data centre of the fleet.
type DataCentre struct {
	Name      string
	Region    string
	InService bool
}

// Service is one search service of the sheet.
type Service struct {
	Name string
	Spec *pb.Service
	// Generations are in ascending order of FirstSnapshot.
	Generations     []*Generation
	Classes         map[string]*pb.Class
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Generation is one partitioning of a service into shards.
type Generation struct {
	ID            uint64
	FirstSnapshot uint64
	Shards        []*Shard
	byName        map[string]*Shard
}

// Shard is one part of a generation.
type Shard struct {
	Name string
	// Position is the shard's index in Generation.Shards.
	Position int
	Replicas []*Replica
}

// Replica is one backend server's copy of a shard. Several generations of its
// service may contain the same replica.
type Replica struct {
	Name       string
	Service    *Service
	DataCentre string
	// Address is an IP address and a port.
	Address string
	// InService is false when the replica or its data centre is out of service.
	// A replica that is out of service receives no new requests.
	InService bool
}

// New builds the index of an accepted configuration. The sheet has passed
// sheet.Check before, so an error means that the stored value is corrupt.
func New(raw *pb.Configuration) (*Index, error) {
	if raw.GetSheet() == nil {
		return nil, errors.New("configuration has no sheet")
	}
	x := &Index{
		Version:     raw.GetVersion(),
		Raw:         raw,
		Services:    make(map[string]*Service),
		DataCentres: make(map[string]*DataCentre),
		Replicas:    make(map[string]*Replica),
	}
	for _, dc := range raw.GetSheet().GetDataCentres() {
		x.DataCentres[dc.GetName()] = &DataCentre{
			Name:      dc.GetName(),
			Region:    dc.GetRegion(),
			InService: dc.GetState() != pb.Lifecycle_LIFECYCLE_OUT,
		}
	}
	for _, spec := range raw.GetSheet().GetServices() {
		if err := x.addService(spec); err != nil {
			return nil, err
		}
	}
	return x, nil
}

// ReplicaNames returns the names of all replicas in ascending order.
func (x *Index) ReplicaNames() []string {
	names := make([]string, 0, len(x.Replicas))
	for name := range x.Replicas {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (x *Index) addService(spec *pb.Service) error {
	svc := &Service{
		Name:            spec.GetName(),
		Spec:            spec,
		Classes:         make(map[string]*pb.Class),
		DefaultDeadline: time.Duration(spec.GetDefaultDeadlineMs()) * time.Millisecond,
		MaxDeadline:     time.Duration(spec.GetMaxDeadlineMs()) * time.Millisecond,
	}
	for _, class := range spec.GetClasses() {
		svc.Classes[class.GetName()] = class
	}
	for _, g := range spec.GetGenerations() {
		gen, err := x.newGeneration(svc, g)
		if err != nil {
			return err
		}
		svc.Generations = append(svc.Generations, gen)
	}
	sort.Slice(svc.Generations, func(i, j int) bool {
		return svc.Generations[i].FirstSnapshot < svc.Generations[j].FirstSnapshot
	})
	if len(svc.Generations) == 0 {
		return errors.Errorf("service %s has no generation", svc.Name)
	}
	x.Services[svc.Name] = svc
	return nil
}

func (x *Index) newGeneration(svc *Service, spec *pb.Generation) (*Generation, error) {
	gen := &Generation{
		ID:            spec.GetId(),
		FirstSnapshot: spec.GetFirstSnapshot(),
		byName:        make(map[string]*Shard),
	}
	for i, s := range spec.GetShards() {
		shard := &Shard{Name: s.GetName(), Position: i}
		for _, r := range s.GetReplicas() {
			replica, err := x.replica(svc, r)
			if err != nil {
				return nil, err
			}
			shard.Replicas = append(shard.Replicas, replica)
		}
		gen.Shards = append(gen.Shards, shard)
		gen.byName[shard.Name] = shard
	}
	return gen, nil
}

func (x *Index) replica(svc *Service, spec *pb.Replica) (*Replica, error) {
	if existing := x.Replicas[spec.GetName()]; existing != nil {
		if existing.Address != spec.GetAddress() || existing.Service != svc {
			return nil, errors.Errorf("replica %s has conflicting definitions", spec.GetName())
		}
		return existing, nil
	}
	dc := x.DataCentres[spec.GetDataCentre()]
	if dc == nil {
		return nil, errors.Errorf("replica %s is in an unknown data centre", spec.GetName())
	}
	replica := &Replica{
		Name:       spec.GetName(),
		Service:    svc,
		DataCentre: spec.GetDataCentre(),
		Address:    spec.GetAddress(),
		InService:  dc.InService && spec.GetState() != pb.Lifecycle_LIFECYCLE_OUT,
	}
	x.Replicas[replica.Name] = replica
	return replica, nil
}

// GenerationOf returns the generation that a snapshot belongs to, or nil when
// the snapshot is older than every generation.
func (s *Service) GenerationOf(snapshot uint64) *Generation {
	for i := len(s.Generations) - 1; i >= 0; i-- {
		if s.Generations[i].FirstSnapshot <= snapshot {
			return s.Generations[i]
		}
	}
	return nil
}

// Latest returns the newest generation.
func (s *Service) Latest() *Generation {
	return s.Generations[len(s.Generations)-1]
}

// Shard returns the shard with the given name, or nil.
func (g *Generation) Shard(name string) *Shard {
	return g.byName[name]
}
