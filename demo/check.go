package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/entry"
)

// pollInterval is the time between two checks of a condition, and between two queries of sendQueries.
const pollInterval = 50 * time.Millisecond

// checker sends queries and checks each answer: its nonce, its consistency and that its coverage lists every shard.
type checker struct {
	fleet            *fleet
	answers, partial int
}

// status reads the status of an entry daemon.
func (c *checker) status(i int) (entry.Status, error) {
	var s entry.Status
	resp, err := http.Get(c.fleet.operatorURLs[i] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitForAll polls the status of each daemon until it meets the condition.
func (c *checker) waitForAll(description string, timeout time.Duration, condition func(entry.Status) bool) error {
	begin := time.Now()
	for i := 0; i < entries; {
		s, err := c.status(i)
		switch {
		case err == nil && condition(s):
			i++
		case time.Since(begin) > timeout:
			return eris.Errorf("%s: not reached within %s on %s: %v", description, timeout, c.fleet.operatorURLs[i], err)
		default:
			time.Sleep(pollInterval)
		}
	}
	fmt.Printf("  %s after %s\n", description, time.Since(begin).Round(time.Millisecond))
	return nil
}

func (c *checker) waitReady() error {
	return c.waitForAll("ready", startTimeout, func(s entry.Status) bool { return s.Ready })
}

// waitInForce waits until at least the revision of the profile is in force for the service on every daemon.
func (c *checker) waitInForce(profile string, revision int64) error {
	return c.waitForAll("profile in force on every daemon", inForceTimeout, func(s entry.Status) bool {
		return s.Profiles[profile] >= revision && s.Bindings[service] == profile
	})
}

// waitMembers waits until every daemon regards every daemon as alive.
func (c *checker) waitMembers() error {
	return c.waitForAll("members known to every daemon", startTimeout, func(s entry.Status) bool {
		alive := 0
		for _, state := range s.Members {
			if state == "alive" {
				alive++
			}
		}
		return alive == entries
	})
}

// revisions returns the revision of the profile that is in force on each daemon.
func (c *checker) revisions(profile string) ([]int64, error) {
	var revisions []int64
	for i := range entries {
		s, err := c.status(i)
		if err != nil {
			return nil, err
		}
		revisions = append(revisions, s.Profiles[profile])
	}
	return revisions, nil
}

// waitComplete waits until every daemon answers with full coverage.
func (c *checker) waitComplete() error {
	begin := time.Now()
	for i := 0; i < entries; {
		answer, err := c.sendQuery(i)
		switch {
		case err == nil && answer.Coverage.Complete:
			i++
		case time.Since(begin) > startTimeout:
			return eris.Errorf("no answer with full coverage within %s: %v", startTimeout, err)
		default:
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// sendQueries sends n queries through the daemons in turn, checks every answer and prints its coverage.
func (c *checker) sendQueries(situation string, n int) error {
	for i := range n {
		answer, err := c.sendQuery(i % entries)
		if err != nil {
			return eris.Wrap(err, situation)
		}
		c.answers++
		if !answer.Coverage.Complete {
			c.partial++
		}
		fmt.Printf("  entry-%d: snapshot %s, %d records, coverage %.2f, missing %v\n", i%entries+1, answer.Snapshot,
			len(answer.Records), answer.Coverage.Fraction, answer.Coverage.Missing)
		time.Sleep(pollInterval)
	}
	return nil
}

// sendQuery sends a query through an entry daemon and checks the answer.
func (c *checker) sendQuery(i int) (*api.Answer, error) {
	nonce := uuid.NewString()
	body, err := json.Marshal(api.Query{Service: service, Query: "item-", Nonce: nonce})
	if err != nil {
		return nil, err
	}
	resp, err := http.Post(c.fleet.entryURLs[i]+api.QueryPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d: %s", resp.StatusCode, data)
	}
	answer, err := api.DecodeAnswer(data)
	if err == nil {
		err = answer.Validate(nonce)
	}
	if listed := len(answer.Coverage.Included) + len(answer.Coverage.Missing); err == nil && listed != shards {
		err = eris.Errorf("coverage lists %d of %d shards", listed, shards)
	}
	return &answer, err
}
