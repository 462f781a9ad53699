package directory

import (
	"context"

	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/quarantine"
)

// Quarantine writes a quarantined request to the store, so that every node reads it, also
// one that starts later. It retries until the store accepts it or ctx ends.
func (d *Directory) Quarantine(ctx context.Context, request quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, quarantine.Duration)
	defer cancel()
	for ctx.Err() == nil {
		err := d.quarantineOnce(ctx, request)
		if err == nil {
			return
		}
		d.opts.Log.WithError(err).WithField("content", request.String()).Info("quarantined request not written to the store: trying again")
		work.Sleep(ctx, renewInterval)
	}
}

func (d *Directory) quarantineOnce(ctx context.Context, request quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.opts.Store.Quarantine(ctx, request, quarantine.Duration)
}
