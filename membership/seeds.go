package membership

import (
	"context"

	"github.com/chivemill/chivemill/vmlist"
)

// SeedSource returns the addresses of the daemons that the platform lists. The list lags.
type SeedSource interface {
	Seeds(ctx context.Context) ([]Seed, error)
}

// VMSeeds takes the entry VMs of the platform's list as seeds.
type VMSeeds struct {
	List vmlist.Source
}

// Seeds implements SeedSource.
func (s VMSeeds) Seeds(ctx context.Context) ([]Seed, error) {
	vms, err := s.List.Fetch(ctx)
	if err != nil {
		return nil, err
	}
	seeds := make([]Seed, 0, len(vms))
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEntry {
			seeds = append(seeds, Seed{ID: vm.ID, Address: vm.Address})
		}
	}
	return seeds, nil
}
