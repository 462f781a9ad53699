package fleet

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
)

// ErrBusy says that this node answers enough pulls already; the peer asks
// another member.
var ErrBusy = errors.New("too many pulls at once")

func versionText(version uint64) string {
	return strconv.FormatUint(version, 10)
}

// pullLoop pulls the configuration whenever a peer has a higher one.
func (f *Fleet) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pullWake:
		}
		retry := pullRetry
		wait := f.jitter(pullSpread)
		for {
			if !work.Sleep(ctx, wait) {
				return
			}
			sources := f.sources()
			if len(sources) == 0 {
				break
			}
			if !f.pullFrom(ctx, sources) {
				wait = f.jitter(retry)
				retry = min(2*retry, maxPullRetry)
				continue
			}
			wait, retry = f.jitter(pullSpread), pullRetry
		}
	}
}

// sources returns the addresses of members that said they hold a higher version,
// those of this data centre first, each part in random order.
func (f *Fleet) sources() []string {
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

// pullTries bounds the peers that one attempt asks before it waits.
const pullTries = 2

// pullFrom pulls from the first few peers until one gives a newer configuration.
func (f *Fleet) pullFrom(ctx context.Context, addrs []string) bool {
	for i, addr := range addrs {
		if i == pullTries {
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
		HaveVersion: f.version(),
	})
	if err != nil || f.Receive(resp.GetEnvelope()) != nil || resp.GetConfiguration() == nil {
		return false
	}
	return f.offer(resp.GetConfiguration(), resp.GetEnvelope().GetSender())
}

// HandlePull answers with the configuration in force if it is higher than the
// peer's. The error is one of Receive's or ErrBusy.
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
