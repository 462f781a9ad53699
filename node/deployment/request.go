package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/caller"
)

// Query sends a query to a node over TCP, as a caller does, and returns the
// answer with its HTTP status.
func Query(ctx context.Context, callerAddress string, req *caller.QueryRequest) (*caller.Answer, int, error) {
	return postQuery(ctx, http.DefaultTransport, callerAddress, req)
}

// Query sends a query to a node of the deployment.
func (d *Deployment) Query(ctx context.Context, callerAddress string, req *caller.QueryRequest) (*caller.Answer, int, error) {
	return postQuery(ctx, d.transport, callerAddress, req)
}

// Execute sends a non-idempotent request to a node of the deployment.
func (d *Deployment) Execute(ctx context.Context, callerAddress string, req *caller.ExecuteRequest) (*caller.ExecuteAnswer, int, error) {
	var answer caller.ExecuteAnswer
	status, err := post(ctx, d.transport, "http://"+callerAddress+"/v1/execute", req, &answer)
	return &answer, status, err
}

func postQuery(ctx context.Context, transport http.RoundTripper, callerAddress string, req *caller.QueryRequest) (*caller.Answer, int, error) {
	var answer caller.Answer
	status, err := post(ctx, transport, "http://"+callerAddress+"/v1/query", req, &answer)
	return &answer, status, err
}

func post(ctx context.Context, transport http.RoundTripper, url string, request, answer any) (int, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return resp.StatusCode, errors.Wrap(err, "decode answer")
	}
	return resp.StatusCode, nil
}
