package main

import (
	"fmt"

	"github.com/chivemill/chivemill/internal/standin/backend"
)

// replicasOfShard is the number of replicas of a shard in the deployments; order services are divided in as many
// parts.
const replicasOfShard = 3

// waves divides the replicas into groups that restart one after the other: each replica is in one wave, and no wave
// holds more than atOnce replicas of a shard. An order service has no shards; its waves are as many as those of a
// search service.
func waves(replicas []backend.Settings, atOnce int) [][]string {
	count := (replicasOfShard + atOnce - 1) / atOnce
	seen := make(map[string]int)
	var result [][]string
	for _, r := range replicas {
		group := fmt.Sprintf("%s/%d", r.Service, r.Shard)
		wave := seen[group] / atOnce
		if r.Shards == 0 {
			wave = seen[group] % count
		}
		seen[group]++
		for len(result) <= wave {
			result = append(result, nil)
		}
		result[wave] = append(result[wave], r.Replica)
	}
	return result
}

// firstOfShards returns one replica of each shard.
func firstOfShards(replicas []backend.Settings) []string {
	seen := make(map[string]bool)
	var names []string
	for _, r := range replicas {
		group := fmt.Sprintf("%s/%d", r.Service, r.Shard)
		if r.Shards > 0 && !seen[group] {
			seen[group] = true
			names = append(names, r.Replica)
		}
	}
	return names
}
