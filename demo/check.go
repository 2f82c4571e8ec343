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

// pollInterval is the wait between two looks at a condition.
const pollInterval = 50 * time.Millisecond

// checker sends queries and checks each answer against the promises.
type checker struct {
	fleet            *fleet
	answers, partial int
}

func (c *checker) status(i int) (entry.Status, error) {
	var s entry.Status
	resp, err := http.Get(c.fleet.statusURL[i] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// wait polls the condition on every daemon until it holds.
func (c *checker) wait(what string, timeout time.Duration, holds func(entry.Status) bool) error {
	begin := time.Now()
	for i := 0; i < entries; {
		s, err := c.status(i)
		switch {
		case err == nil && holds(s):
			i++
		case time.Since(begin) > timeout:
			return eris.Errorf("%s not within %s on %s: %v", what, timeout, c.fleet.statusURL[i], err)
		default:
			time.Sleep(pollInterval)
		}
	}
	fmt.Printf("  %s after %s\n", what, time.Since(begin).Round(time.Millisecond))
	return nil
}

func (c *checker) waitReady() error {
	return c.wait("ready", startTimeout, func(s entry.Status) bool { return s.Ready })
}

func (c *checker) waitInForce(profile string, revision int64) error {
	return c.wait("profile in force on every daemon", inForceTimeout, func(s entry.Status) bool {
		return s.Profiles[profile] >= revision && s.Bindings[service] == profile
	})
}

// waitMembers waits until every daemon takes every daemon as live.
func (c *checker) waitMembers() error {
	return c.wait("members known to every daemon", startTimeout, func(s entry.Status) bool {
		live := 0
		for _, state := range s.Members {
			if state == "alive" {
				live++
			}
		}
		return live == entries
	})
}

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

// waitComplete waits until every daemon answers completely.
func (c *checker) waitComplete() error {
	begin := time.Now()
	for i := 0; i < entries; {
		answer, err := c.ask(i)
		switch {
		case err == nil && answer.Coverage.Complete:
			i++
		case time.Since(begin) > startTimeout:
			return eris.Errorf("no complete answer within %s: %v", startTimeout, err)
		default:
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// query sends n queries through the daemons in turn, checks every answer and prints its coverage.
func (c *checker) query(what string, n int) error {
	for i := range n {
		answer, err := c.ask(i % entries)
		if err != nil {
			return eris.Wrap(err, what)
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

func (c *checker) ask(i int) (*api.Answer, error) {
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
		err = answer.Check(nonce)
	}
	if named := len(answer.Coverage.Included) + len(answer.Coverage.Missing); err == nil && named != shards {
		err = eris.Errorf("coverage names %d of %d shards", named, shards)
	}
	return &answer, err
}
