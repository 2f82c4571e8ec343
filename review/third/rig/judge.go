package rig

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Given is a reply that a replica meant to give.
type Given struct {
	Service string
	Reply   Reply
}

// Ledger holds what the replicas meant to answer, by signature, for the rule MIXED. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	given map[string]Given
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{given: make(map[string]Given)} }

// OnReply records a reply. It can be used as ReplicaOptions.OnReply.
func (l *Ledger) OnReply(r *Replica, reply Reply) {
	if reply.Signature == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given[reply.Signature] = Given{r.Service, reply}
}

func (l *Ledger) find(signature string) (Given, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.given[signature]
	return g, ok
}

// CheckSingle returns how an answer to a request for one replica breaks MIXED, empty if it does not.
func (l *Ledger) CheckSingle(id string, a Answer) string {
	signature := a.Header.Get("Chivemill-Response-Stamp")
	isSuccess := a.Status >= 200 && a.Status < 300
	if signature == "" {
		if isSuccess {
			return "a success without the replica's signature"
		}
		return ""
	}
	g, ok := l.find(signature)
	switch {
	case !ok || g.Reply.ID != id:
		return "an answer that belongs to another request"
	case isSuccess && g.Reply.Status >= 300:
		return fmt.Sprintf("a success with status %d where the replica had answered with status %d", a.Status, g.Reply.Status)
	case a.Status != g.Reply.Status:
		return fmt.Sprintf("status %d where the replica gave %d", a.Status, g.Reply.Status)
	case isSuccess && !bytes.Equal(a.Body, g.Reply.Body):
		return fmt.Sprintf("a success whose body of %d bytes isn't the replica's whole body of %d bytes", len(a.Body), len(g.Reply.Body))
	}
	return ""
}

// CheckGather returns how an answer to a query over the services breaks MIXED, empty if it does not.
func (l *Ledger) CheckGather(id string, a Answer, services []string, top int, least float64) string {
	if a.Status < 200 || a.Status >= 300 {
		return ""
	}
	var stamps []string
	for _, line := range a.Header.Values("Chivemill-Shard-Stamps") {
		for _, s := range strings.Split(line, ",") {
			stamps = append(stamps, strings.TrimSpace(s))
		}
	}
	missing, _ := strconv.Atoi(a.Header.Get("Chivemill-Shards-Missing"))
	seen := make(map[string]bool)
	var records [][]byte
	for _, s := range stamps {
		g, ok := l.find(s)
		switch {
		case !ok || g.Reply.ID != id:
			return fmt.Sprintf("the signature %q is none of an answer to this request", s)
		case g.Reply.Status >= 300 || g.Reply.Status < 200:
			return fmt.Sprintf("the signature %q is that of a failure with status %d", s, g.Reply.Status)
		case seen[g.Service] || !slices.Contains(services, g.Service):
			return fmt.Sprintf("the service %q is named twice or does not belong to the set", g.Service)
		}
		seen[g.Service] = true
		for body := g.Reply.Body; len(body) >= 16; body = body[16:] {
			records = append(records, body[:16])
		}
	}
	if len(stamps)+missing != len(services) {
		return fmt.Sprintf("%d parts and %d missing of %d shards", len(stamps), missing, len(services))
	}
	if float64(len(stamps)) < least*float64(len(services))-1e-9 {
		return fmt.Sprintf("only %d of %d shards", len(stamps), len(services))
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if !bytes.Equal(bytes.Join(records[:min(top, len(records))], nil), a.Body) {
		return "the body isn't the greatest records of the parts named"
	}
	return ""
}
