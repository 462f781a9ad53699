package deployment

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/standin/backend"
)

const (
	// firstSnapshot is the only snapshot that the backend servers hold at start.
	firstSnapshot = 1
	// Service times lie between serviceTimeBase and serviceTimeBase+serviceTimeSpread.
	serviceTimeBase   = 2 * time.Millisecond
	serviceTimeSpread = 6 * time.Millisecond
	// coldRequests is the number of requests that warm up a backend server.
	coldRequests    = 20
	serviceTimeSeed = 1
)

// startBackends starts a backend server for each replica of the sheet and writes its
// address to the sheet.
func (d *Deployment) startBackends() error {
	for _, svc := range d.Sheet.GetServices() {
		for name, generations := range generationsByReplica(svc) {
			if err := d.startBackend(svc, name, generations); err != nil {
				return err
			}
		}
		d.setAddresses(svc)
	}
	return nil
}

func (d *Deployment) startBackend(svc *pb.Service, name string, generations []backend.Generation) error {
	options := backend.Options{
		Name:        name,
		Generations: generations,
		Oldest:      firstSnapshot,
		Newest:      firstSnapshot,
		Slots:       int(svc.GetSlots()),
		Queue:       -1,
		Connections: int(svc.GetConnections()),
		ServiceTime: backend.ServiceTime{Base: serviceTimeBase, Spread: serviceTimeSpread},
		Cold:        backend.Cold{InFlight: int(svc.GetColdInFlight()), Requests: coldRequests},
		Rng:         rand.New(rand.NewPCG(serviceTimeSeed, uint64(len(d.Backends)))),
	}
	if d.Backend != nil {
		d.Backend(&options)
	}
	replica := replicaOf(svc, name)
	address := loopback
	if d.KeepAddresses {
		address = replica.GetAddress()
	}
	l, err := d.listen(replica.GetDataCentre(), address)
	if err != nil {
		return errors.Wrapf(err, "backend server %s", name)
	}
	server := backend.New(options)
	server.Serve(l)
	d.Backends[name] = server
	return nil
}

func replicaOf(svc *pb.Service, replica string) *pb.Replica {
	for _, g := range svc.GetGenerations() {
		for _, s := range g.GetShards() {
			for _, r := range s.GetReplicas() {
				if r.GetName() == replica {
					return r
				}
			}
		}
	}
	return nil
}

// generationsByReplica returns, for each replica of a service, the generations that the
// replica holds and the replica's shards in them.
func generationsByReplica(svc *pb.Service) map[string][]backend.Generation {
	generations := make(map[string][]backend.Generation)
	for _, g := range svc.GetGenerations() {
		shards := make(map[string][]string)
		for _, s := range g.GetShards() {
			for _, r := range s.GetReplicas() {
				shards[r.GetName()] = append(shards[r.GetName()], s.GetName())
			}
		}
		for name, list := range shards {
			generations[name] = append(generations[name], backend.Generation{
				ID:            g.GetId(),
				FirstSnapshot: g.GetFirstSnapshot(),
				Shards:        list,
			})
		}
	}
	return generations
}

// setAddresses writes the addresses of the backend servers to a service's replicas.
func (d *Deployment) setAddresses(svc *pb.Service) {
	for _, g := range svc.GetGenerations() {
		for _, s := range g.GetShards() {
			for _, r := range s.GetReplicas() {
				r.Address = d.Backends[r.GetName()].Addr()
			}
		}
	}
}
