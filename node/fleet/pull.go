package fleet

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
)

// ErrBusy reports that this node has reached its rate limit for serving pulls. The
// peer then pulls from another member.
var ErrBusy = errors.New("too many pulls at once")

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}

// pullLoop pulls the configuration whenever a peer reports a higher version.
func (f *Fleet) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pullWake:
		}
		retry := pullRetry
		wait := f.jitter(pullDelay)
		for {
			if !work.Sleep(ctx, wait) {
				return
			}
			sources := f.pullSources()
			if len(sources) == 0 {
				break
			}
			if !f.pullFrom(ctx, sources) {
				wait = f.jitter(retry)
				retry = min(2*retry, maxPullRetry)
				continue
			}
			wait, retry = f.jitter(pullDelay), pullRetry
		}
	}
}

// pullSources returns the addresses of members that reported a higher version.
// Members of this data centre come first. Each part is in random order.
func (f *Fleet) pullSources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.table.Self()
	var near, far []string
	for _, m := range f.table.Members() {
		switch {
		case m.ID() == self.ID() || m.ConfigVersion <= f.state.Version() || !m.Usable():
		case m.DataCentre == self.DataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	for _, part := range [][]string{near, far} {
		f.rng.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	return append(near, far...)
}

// maxPullSources is the maximum number of peers that one attempt pulls from.
const maxPullSources = 2

// pullFrom pulls from up to maxPullSources peers until one returns a newer
// configuration, and reports whether one did.
func (f *Fleet) pullFrom(ctx context.Context, addrs []string) bool {
	for i, addr := range addrs {
		if i == maxPullSources {
			return false
		}
		if f.pull(ctx, addr) {
			return true
		}
	}
	return false
}

func (f *Fleet) pull(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	f.stats.pulls.Add(1)
	resp, err := f.opts.Peers.Pull(ctx, addr, &pb.PullConfigurationRequest{
		Envelope:    f.Envelope(),
		HaveVersion: f.configVersion(),
	})
	if err != nil || f.Receive(resp.GetEnvelope()) != nil || resp.GetConfiguration() == nil {
		return false
	}
	return f.offerConfiguration(resp.GetConfiguration(), resp.GetEnvelope().GetSender())
}

// HandlePull returns the configuration in force if its version is higher than the
// peer's. The errors are those of Receive, and ErrBusy.
func (f *Fleet) HandlePull(_ context.Context, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error) {
	if err := f.Receive(req.GetEnvelope()); err != nil {
		return nil, err
	}
	if !f.pulls.Allow() {
		return nil, ErrBusy
	}
	resp := &pb.PullConfigurationResponse{Envelope: f.Envelope()}
	if index := f.Index(); index != nil && index.Version > req.GetHaveVersion() {
		resp.Configuration = index.Raw
	}
	return resp, nil
}
