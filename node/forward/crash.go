package forward

import (
	"context"
	"sync"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// crashProbeTimeout bounds the check whether a replica that lost a request has crashed.
	crashProbeTimeout = 500 * time.Millisecond
	// controlProbes is the number of replicas of other services whose data centre is checked
	// with a crash. One of them may have crashed too.
	controlProbes = 2
	// controlMaxAge is how long the result of such a check is used again.
	controlMaxAge = 50 * time.Millisecond
)

// crashDetector distinguishes crashed replicas from lost connections. The address of a
// crashed replica refuses connections until the replica is restarted. A network partition
// may refuse them too, but then those of all services in the data centre. Safe for
// concurrent use.
type crashDetector struct {
	backend *backend.Client

	// mu guards the maps.
	mu sync.Mutex
	// probes holds the probes in flight by address, and controls the newest check of each
	// data centre.
	probes   map[string]*probe
	controls map[string]*probe
}

// probe is a check in flight or its result. ok is set before done is closed.
type probe struct {
	startedAt time.Time
	done      chan struct{}
	ok        bool
}

// startProbe runs check in the background, and cleanup after it.
func startProbe(check func(ctx context.Context) bool, cleanup func()) *probe {
	p := &probe{startedAt: time.Now(), done: make(chan struct{})}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		p.ok = check(ctx)
		cleanup()
		close(p.done)
	}()
	return p
}

// wait returns the result once it is known.
func (p *probe) wait() bool {
	<-p.done
	return p.ok
}

func newCrashDetector(client *backend.Client) *crashDetector {
	return &crashDetector{backend: client, probes: make(map[string]*probe), controls: make(map[string]*probe)}
}

// refuses returns a check whether an address refuses connections. One check serves all
// requests that were lost together.
func (d *crashDetector) refuses(address string) *probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.probes[address]; p != nil {
		return p
	}
	p := startProbe(func(ctx context.Context) bool { return d.backend.Refuses(ctx, address) }, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.probes, address)
	})
	d.probes[address] = p
	return p
}

// reaches returns a check whether any of the given replicas of a data centre accepts
// connections. It succeeds if there are none.
func (d *crashDetector) reaches(dataCentre string, candidates []*registry.Replica) *probe {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.controls[dataCentre]; p != nil && time.Since(p.startedAt) < controlMaxAge {
		return p
	}
	p := startProbe(func(ctx context.Context) bool {
		return len(candidates) == 0 || d.anyReachable(ctx, sample(candidates, controlProbes))
	}, func() {})
	d.controls[dataCentre] = p
	return p
}

// anyReachable reports whether any replica accepts a connection. It returns with the first
// that does.
func (d *crashDetector) anyReachable(ctx context.Context, replicas []*registry.Replica) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(replicas))
	for _, r := range replicas {
		go func() { results <- d.backend.Reachable(ctx, r.Address) }()
	}
	for range replicas {
		if <-results {
			return true
		}
	}
	return false
}

// controls returns the replicas of a data centre whose services a request does not go to.
func (f *Forwarder) controls(c *content, dataCentre string) []*registry.Replica {
	current := f.replicas.Load()
	if current == nil {
		return nil
	}
	services := c.services()
	var list []*registry.Replica
	for _, r := range *current {
		if r.DataCentre == dataCentre && !services[r.Service] {
			list = append(list, r)
		}
	}
	return list
}
