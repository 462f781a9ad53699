package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/membership"
)

// fleetPlatform adapts the platform client to the interface of package fleet.
type fleetPlatform struct {
	client *platform.Client
}

func (p fleetPlatform) Get(ctx context.Context, key string) (fleet.Entry, error) {
	entry, err := p.client.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return fleet.Entry{}, fleet.ErrNoConfiguration
	}
	return fleet.Entry(entry), err
}

func (p fleetPlatform) Watch(ctx context.Context, key string, after uint64) (fleet.Entry, error) {
	entry, err := p.client.Watch(ctx, key, after)
	return fleet.Entry(entry), err
}

func (p fleetPlatform) VMs(ctx context.Context) ([]membership.ListedVM, error) {
	vms, err := p.client.VMs(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]membership.ListedVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.ListedVM{
			Name:        vm.Name,
			DataCentre:  vm.DataCentre,
			PeerAddress: vm.PeerAddress,
			Leaving:     vm.Leaving,
		})
	}
	return list, nil
}
