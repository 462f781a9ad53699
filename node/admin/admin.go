// Package admin serves the operator endpoints on a listener separate from the callers'
// one: liveness, readiness, metrics, status, the decision ring and profiles.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/ring"
)

// Status returns the status of this node, or of every node of the fleet.
type Status interface {
	NodeStatus(ctx context.Context, fleet bool) []*pb.NodeStatus
}

// Options are the components that the admin endpoints read.
type Options struct {
	// Ready reports whether a load balancer may send callers to this node, and the
	// reason if not.
	Ready   func() (bool, string)
	Status  Status
	Ring    *ring.Ring
	Metrics http.Handler
}

// NewHandler returns the HTTP handler of the admin endpoints.
func NewHandler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", o.readyz)
	mux.HandleFunc("GET /status", o.status)
	mux.HandleFunc("GET /decisions", o.decisions)
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func (o Options) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, reason := o.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// status serves GET /status, and GET /status?fleet=true for every member.
func (o Options) status(w http.ResponseWriter, r *http.Request) {
	nodes := o.Status.NodeStatus(r.Context(), r.URL.Query().Get("fleet") == "true")
	body, err := protojson.Marshal(&pb.StatusResponse{Nodes: nodes})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// decisions serves GET /decisions; ?subject= limits the result to one subject.
func (o Options) decisions(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o.Ring.Decisions(r.URL.Query().Get("subject")))
}
