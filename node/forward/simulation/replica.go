package simulation

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/registry"
)

// Headers of the replicas' dialect.
const (
	headerID        = "Request-Id"
	headerSignature = "Signature"
)

// dialect implements backend.Dialect.
type dialect struct{}

func (dialect) SetHeaders(http.Header, string, string, time.Duration) {}

func (dialect) Metadata(resp *http.Response) backend.ReplyMetadata {
	return backend.ReplyMetadata{RequestID: resp.Header.Get(headerID), Signature: resp.Header.Get(headerSignature)}
}

// replica is one backend server.
type replica struct {
	registry.Replica
	listener net.Listener
	// conns is guarded by Fleet.mu.
	conns []net.Conn
}

// disconnect closes the listener and all connections. Fleet.mu is held.
func (r *replica) disconnect() {
	_ = r.listener.Close()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// startReplica starts a replica, unless the fleet is closed.
func (f *Fleet) startReplica(shard, dataCentre string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	l, err := f.network.Listen(dataCentre, "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f.started++
	r := &replica{listener: l, Replica: registry.Replica{
		ID: fmt.Sprintf("%s-%s-%d", shard, dataCentre, f.started), Service: shard, Address: l.Addr().String(), DataCentre: dataCentre,
	}}
	f.replicas[r.ID] = r
	go f.accept(r)
}

func (f *Fleet) accept(r *replica) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		r.conns = append(r.conns, conn)
		f.mu.Unlock()
		go f.serve(r, conn)
	}
}

// serve answers the requests on one connection.
func (f *Fleet) serve(r *replica, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		time.Sleep(runTime)
		if strings.HasPrefix(req.URL.Path, CrashPath) {
			f.crash(r)
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: of-%s\r\nContent-Length: 16\r\n\r\n%-16.16s",
			headerID, req.Header.Get(headerID), headerSignature, r.ID, r.ID)
		if err != nil {
			return
		}
	}
}

// crash ends a replica, which is restarted under another ID.
func (f *Fleet) crash(r *replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replicas[r.ID] == nil || f.closed {
		return
	}
	delete(f.replicas, r.ID)
	f.crashes++
	r.disconnect()
	time.AfterFunc(viewDelay, f.publish)
	time.AfterFunc(restartTime, func() {
		f.startReplica(r.Service, r.DataCentre)
		f.publish()
	})
}

// ReplicaIDs returns the IDs of the running replicas.
func (f *Fleet) ReplicaIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.replicas {
		ids = append(ids, id)
	}
	return ids
}

// KillReplicas kills replicas about every 0.8 s until stop is closed: one, all of a shard, or
// about a third of all within a tenth of a second.
func (f *Fleet) KillReplicas(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(1200)) * time.Millisecond):
		}
		const one, shard = 0, 1
		kind, name := rng.IntN(3), Shards[rng.IntN(len(Shards))]
		var victims []*replica
		f.mu.Lock()
		for _, r := range f.replicas {
			switch kind {
			case one:
				if len(victims) == 0 {
					victims = append(victims, r)
				}
			case shard:
				if r.Service == name {
					victims = append(victims, r)
				}
			default:
				if rng.IntN(3) == 0 {
					victims = append(victims, r)
				}
			}
		}
		f.mu.Unlock()
		for _, r := range victims {
			if kind != one && kind != shard {
				time.Sleep(time.Duration(rng.IntN(25)) * time.Millisecond)
			}
			f.crash(r)
		}
	}
}
