package sheet

import (
	"fmt"
	"net/netip"
	"regexp"

	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/rule"
)

// Fault is one validation error in a sheet.
type Fault = rule.Fault

// namePattern restricts names to characters that are safe in URLs, headers and
// metric tags.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameAllowed = "1 to 63 letters, digits, dots, hyphens and underscores, starting with a letter or digit"

// Check fills in the defaults of a copy of the sheet and returns all its faults.
func Check(s *pb.Sheet) []Fault {
	c := &checker{
		sheet:       WithDefaults(s),
		dataCentres: make(map[string]bool),
		services:    make(map[string]bool),
		replicas:    make(map[string]replicaEntry),
		addresses:   make(map[string]replicaEntry),
	}
	c.faults = rule.Check(c.sheet)
	c.name("fleet", c.sheet.GetFleet())
	c.checkDataCentres()
	for i, svc := range c.sheet.GetServices() {
		c.checkService(rule.Index("services", i), svc)
	}
	return c.faults
}

// replicaEntry is the first occurrence of a replica in the sheet.
type replicaEntry struct {
	path    string
	service string
	replica *pb.Replica
}

type checker struct {
	sheet       *pb.Sheet
	faults      []Fault
	dataCentres map[string]bool
	services    map[string]bool
	// replicas and addresses index the replicas of all services by name and by
	// address.
	replicas  map[string]replicaEntry
	addresses map[string]replicaEntry
}

func (c *checker) add(path, allowed, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...), Allowed: allowed})
}

// name validates the format of a name. rule.Check reports a missing name.
func (c *checker) name(path, name string) {
	if name != "" && !namePattern.MatchString(name) {
		c.add(path, nameAllowed, "is %q", name)
	}
}

// uniqueName validates the format of a name and that seen does not contain it.
func (c *checker) uniqueName(path, name string, seen map[string]bool) {
	c.name(path, name)
	if name != "" && seen[name] {
		c.add(path, "names in a list must be unique", "%q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) checkDataCentres() {
	for i, dc := range c.sheet.GetDataCentres() {
		path := rule.Index("data_centres", i)
		c.uniqueName(rule.Join(path, "name"), dc.GetName(), c.dataCentres)
		c.name(rule.Join(path, "region"), dc.GetRegion())
	}
}

func (c *checker) checkService(path string, svc *pb.Service) {
	c.uniqueName(rule.Join(path, "name"), svc.GetName(), c.services)
	c.checkLimits(path, svc)
	classes := make(map[string]bool)
	for i, class := range svc.GetClasses() {
		c.uniqueName(rule.Join(rule.Index(rule.Join(path, "classes"), i), "name"), class.GetName(), classes)
	}
	c.checkGenerations(rule.Join(path, "generations"), svc)
}

func (c *checker) checkLimits(path string, svc *pb.Service) {
	if svc.GetColdInFlight() > svc.GetSlots() && svc.GetSlots() > 0 {
		c.add(rule.Join(path, "cold_in_flight"), fmt.Sprintf("at most slots, %d", svc.GetSlots()),
			"is %d", svc.GetColdInFlight())
	}
	if svc.GetDefaultDeadlineMs() > svc.GetMaxDeadlineMs() {
		c.add(rule.Join(path, "default_deadline_ms"), fmt.Sprintf("at most max_deadline_ms, %d", svc.GetMaxDeadlineMs()),
			"is %d", svc.GetDefaultDeadlineMs())
	}
	if svc.GetSilentColdStart() && svc.GetMaxBatch() > 1 {
		c.add(rule.Join(path, "max_batch"), "0 or 1 with silent_cold_start",
			"is %d, above the concurrency limit of a replica in a silent cold start", svc.GetMaxBatch())
	}
	owners := c.sheet.GetTuning().GetOwners()
	if svc.GetConnections() > 0 && ConnectionShare(svc.GetConnections(), owners) < 1 {
		c.add(rule.Join(path, "connections"), fmt.Sprintf("at least %d with tuning.owners %d", owners+1, owners),
			"is %d, too few for each owner to open one", svc.GetConnections())
	}
}

// ConnectionShare returns the number of connections that each owner of a replica
// may open. The divisor is owners + 1. Otherwise the owners would exceed the
// connection limit of the backend server during a change of ownership, when the
// former owner and its successor both hold a share.
func ConnectionShare(connections, owners uint32) uint32 {
	return connections / (owners + 1)
}

func (c *checker) checkGenerations(path string, svc *pb.Service) {
	ids := make(map[uint64]bool)
	starts := make(map[uint64]bool)
	for i, gen := range svc.GetGenerations() {
		at := rule.Index(path, i)
		if ids[gen.GetId()] {
			c.add(rule.Join(at, "id"), "generation ids must be unique", "%d is given twice", gen.GetId())
		}
		if starts[gen.GetFirstSnapshot()] && gen.GetFirstSnapshot() > 0 {
			c.add(rule.Join(at, "first_snapshot"), "a snapshot belongs to one generation",
				"%d is the first snapshot of two generations", gen.GetFirstSnapshot())
		}
		ids[gen.GetId()] = true
		starts[gen.GetFirstSnapshot()] = true
		c.checkShards(rule.Join(at, "shards"), svc, gen)
	}
}

func (c *checker) checkShards(path string, svc *pb.Service, gen *pb.Generation) {
	shards := make(map[string]bool)
	inGeneration := make(map[string]string)
	for i, shard := range gen.GetShards() {
		at := rule.Index(path, i)
		c.uniqueName(rule.Join(at, "name"), shard.GetName(), shards)
		for j, replica := range shard.GetReplicas() {
			c.checkReplica(rule.Index(rule.Join(at, "replicas"), j), svc, replica, inGeneration)
		}
	}
}

func (c *checker) checkReplica(path string, svc *pb.Service, r *pb.Replica, inGeneration map[string]string) {
	name := rule.Join(path, "name")
	c.name(name, r.GetName())
	if first, ok := inGeneration[r.GetName()]; ok && r.GetName() != "" {
		c.add(name, "a replica may be listed once in a generation", "%q is also listed at %s", r.GetName(), first)
		return
	}
	inGeneration[r.GetName()] = path
	if len(c.dataCentres) > 0 && r.GetDataCentre() != "" && !c.dataCentres[r.GetDataCentre()] {
		c.add(rule.Join(path, "data_centre"), "one of the sheet's data_centres", "unknown data centre %q", r.GetDataCentre())
	}
	c.checkAddress(rule.Join(path, "address"), r.GetAddress())
	c.checkIdentity(path, svc, r)
}

func (c *checker) checkAddress(path, address string) {
	if address == "" {
		return
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		c.add(path, "an IP address and a port, such as 10.1.2.3:8080", "is %q", address)
	}
}

// checkIdentity compares a replica with earlier entries of the same name or
// address. Another generation may list the same replica again, unchanged. Two
// names for one address would count its slots and connections twice.
func (c *checker) checkIdentity(path string, svc *pb.Service, r *pb.Replica) {
	entry := replicaEntry{path: path, service: svc.GetName(), replica: r}
	if first, ok := c.replicas[r.GetName()]; ok && r.GetName() != "" {
		if first.service != svc.GetName() || !proto.Equal(first.replica, r) {
			c.add(path, "every entry of a replica must have the same service, data centre, address and state",
				"replica %q differs from %s", r.GetName(), first.path)
		}
		return
	}
	c.replicas[r.GetName()] = entry
	if first, ok := c.addresses[r.GetAddress()]; ok && r.GetAddress() != "" {
		c.add(rule.Join(path, "address"), "addresses of replicas must be unique", "%s is the address of %s too", r.GetAddress(), first.path)
		return
	}
	c.addresses[r.GetAddress()] = entry
}
