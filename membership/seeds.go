package membership

import (
	"context"

	"github.com/chivemill/chivemill/vmlist"
)

// SeedSource returns the entry daemons on the platform's VM list, which may be out of date.
type SeedSource interface {
	Seeds(ctx context.Context) ([]Seed, error)
}

// VMSeeds is a SeedSource that returns the entry VMs of the platform's VM list.
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
