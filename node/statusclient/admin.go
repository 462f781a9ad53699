// Package statusclient requests the status of nodes, from the admin listeners of given
// nodes or from the peer listeners of the VMs on the platform's VM list.
package statusclient

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// maxStatusBytes bounds the size of a response.
	maxStatusBytes = 256 << 20
	// callTimeout is longer than a node waits for the status of other members.
	callTimeout = 3 * time.Second
)

// Admin requests the status from the admin listeners of several nodes. It tries the nodes
// in order until one responds, and tries that one first the next time. Not safe for
// concurrent use.
type Admin struct {
	addresses []string
	http      *http.Client
}

// NewAdmin returns a client of the admin listeners at addresses (IP address and port). It
// reorders addresses.
func NewAdmin(addresses []string) *Admin {
	return &Admin{addresses: addresses, http: &http.Client{Timeout: callTimeout}}
}

// Status returns the status of every node in the member list of the first node that
// responds.
func (c *Admin) Status(ctx context.Context) ([]*pb.NodeStatus, error) {
	return c.tryAddresses(ctx, "?fleet=true")
}

// NodeStatus returns the status of the first node that responds.
func (c *Admin) NodeStatus(ctx context.Context) ([]*pb.NodeStatus, error) {
	return c.tryAddresses(ctx, "")
}

func (c *Admin) tryAddresses(ctx context.Context, query string) ([]*pb.NodeStatus, error) {
	err := errors.New("no node addresses given")
	for i, address := range c.addresses {
		var nodes []*pb.NodeStatus
		nodes, err = c.fetch(ctx, address, query)
		if err == nil {
			c.addresses[0], c.addresses[i] = c.addresses[i], c.addresses[0]
			return nodes, nil
		}
	}
	return nil, err
}

func (c *Admin) fetch(ctx context.Context, address, query string) ([]*pb.NodeStatus, error) {
	target := url.URL{Scheme: "http", Host: address, Path: "/status"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String()+query, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create status request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request status")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read status from %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("request status from %s: %s", address, resp.Status)
	}
	status := &pb.StatusResponse{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, status); err != nil {
		return nil, errors.Wrapf(err, "decode status from %s", address)
	}
	return status.GetNodes(), nil
}
