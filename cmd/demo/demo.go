package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/deployment"
	"github.com/carobmill/carobmill/policy/query"
)

// queryTimeout bounds one query of the demo.
const queryTimeout = 5 * time.Second

// Options configures a demo.
type Options struct {
	Sheet *pb.Sheet
	// Once ends the demo after the answers are printed.
	Once bool
	// JSON prints one JSON document instead of text.
	JSON bool
	Out  io.Writer
	Log  logrus.FieldLogger
}

// Answer is the result of one query and its latency.
type Answer struct {
	Service       string        `json:"service"`
	Class         string        `json:"class"`
	Outcome       query.Outcome `json:"outcome"`
	Coverage      float64       `json:"coverage"`
	Shards        int           `json:"shards"`
	Snapshot      uint64        `json:"snapshot"`
	ConfigVersion uint64        `json:"config_version"`
	LatencyMs     float64       `json:"latency_ms"`
}

// document is the JSON output of a demo.
type document struct {
	Fleet   string   `json:"fleet"`
	Nodes   int      `json:"nodes"`
	Answers []Answer `json:"answers"`
}

// ErrIncomplete is returned when the outcome of a query is not query.Complete.
var ErrIncomplete = errors.New("answer is incomplete")

// Run starts the deployment, queries every service and prints the answers. Unless
// Once is set, the deployment then serves until ctx is done.
func Run(ctx context.Context, o Options) error {
	d, err := deployment.Start(context.WithoutCancel(ctx), deployment.Options{Sheet: o.Sheet, Log: o.Log})
	if err != nil {
		return err
	}
	defer d.Close()
	answers, err := queryAll(ctx, d)
	if err != nil {
		return err
	}
	if err := o.print(d, answers); err != nil {
		return err
	}
	for _, a := range answers {
		if a.Outcome != query.Complete {
			return errors.Wrap(ErrIncomplete, a.Service)
		}
	}
	if o.Once {
		return nil
	}
	o.printCurl(d)
	<-ctx.Done()
	return nil
}

// queryAll queries each service, rotating through the data centres.
func queryAll(ctx context.Context, d *deployment.Deployment) ([]Answer, error) {
	var answers []Answer
	for i, svc := range d.Sheet.GetServices() {
		addr := d.Nodes[i*d.NodesPerDataCentre%len(d.Nodes)].Settings.GetCallerAddress()
		answer, err := queryService(ctx, addr, svc)
		if err != nil {
			return nil, err
		}
		answers = append(answers, *answer)
	}
	return answers, nil
}

func queryService(ctx context.Context, addr string, svc *pb.Service) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	class := svc.GetClasses()[0].GetName()
	start := time.Now()
	answer, _, err := deployment.Query(ctx, addr, &caller.QueryRequest{
		Service: svc.GetName(),
		Class:   class,
		Query:   json.RawMessage(`{"text":"demo"}`),
	})
	if err != nil {
		return nil, err
	}
	return &Answer{
		Service:       svc.GetName(),
		Class:         class,
		Outcome:       answer.Outcome,
		Coverage:      answer.Coverage,
		Shards:        len(answer.Results),
		Snapshot:      answer.Snapshot,
		ConfigVersion: answer.ConfigVersion,
		LatencyMs:     float64(time.Since(start).Microseconds()) / 1000,
	}, nil
}

func (o Options) print(d *deployment.Deployment, answers []Answer) error {
	if o.JSON {
		enc := json.NewEncoder(o.Out)
		enc.SetIndent("", "  ")
		err := enc.Encode(document{Fleet: o.Sheet.GetFleet(), Nodes: len(d.Nodes), Answers: answers})
		return errors.Wrap(err, "write output")
	}
	_, _ = fmt.Fprintf(o.Out, "fleet %s: %d nodes, %d backend servers\n", o.Sheet.GetFleet(), len(d.Nodes), len(d.Backends))
	for _, a := range answers {
		_, err := fmt.Fprintf(o.Out, "%-20s %-14s %-9s coverage %.3f  shards %d  snapshot %d  %.1f ms\n",
			a.Service, a.Class, a.Outcome, a.Coverage, a.Shards, a.Snapshot, a.LatencyMs)
		if err != nil {
			return errors.Wrap(err, "write output")
		}
	}
	return nil
}

func (o Options) printCurl(d *deployment.Deployment) {
	svc := o.Sheet.GetServices()[0]
	s := d.Nodes[0].Settings
	_, _ = fmt.Fprintf(o.Out, `
serving; press Ctrl-C to stop. Example requests:
  curl -s http://%[1]s/v1/query -d '{"service":"%[2]s","class":"%[3]s","query":{"text":"demo"},"trace":true}'
  curl -s http://%[1]s/v1/execute -d '{"service":"%[2]s","class":"%[3]s","key":"rider-7","idempotency_key":"fee-1","body":{"fee":20}}'
  curl -s 'http://%[4]s/status?fleet=true'
  curl -s http://%[4]s/decisions
`, s.GetCallerAddress(), svc.GetName(), svc.GetClasses()[0].GetName(), s.GetAdminAddress())
}
