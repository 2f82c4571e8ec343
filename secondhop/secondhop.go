// Package secondhop carries queries between daemons of one region: a daemon asks one in another data centre for the
// shards whose replicas are there, and gets their merged records. The messages are JSON over net/http.
package secondhop

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/internal/httpjson"
)

const (
	// Path is where a daemon answers.
	Path = "/v1/gather"
	// dialTimeout bounds the opening of a connection within a region.
	dialTimeout = 150 * time.Millisecond
	// pauseTime is how long a daemon that failed is not asked again.
	pauseTime = 2 * time.Second
	// idleConnections is the number of unused connections kept to each daemon.
	idleConnections = 4
	// maxBody bounds a message in bytes.
	maxBody = 16 << 20
	// slack is how much later than its cut the first part of an answer may come.
	slack = 60 * time.Millisecond
)

// Directory names the daemons of each data centre. Implementations are safe for concurrent use.
type Directory interface {
	// Helpers returns addresses of daemons of the data centre.
	Helpers(dataCentre string) []string
}

// Client asks daemons. It implements gateway.Asker and is safe for concurrent use.
type Client struct {
	directory Directory
	http      *http.Client

	mu     sync.Mutex
	paused map[string]time.Time
}

// NewClient returns a client of the daemons in the directory.
func NewClient(directory Directory) *Client {
	return &Client{
		directory: directory, paused: make(map[string]time.Time),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     8 * time.Second,
			DisableCompression:  true,
		}},
	}
}

// pick returns a daemon that did not fail lately, "" if there is none.
func (c *Client) pick(dataCentre string) string {
	helpers := c.directory.Helpers(dataCentre)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []string
	for _, h := range helpers {
		if until, ok := c.paused[h]; !ok || now.After(until) {
			delete(c.paused, h)
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// Knows implements gateway.Asker.
func (c *Client) Knows(dataCentre string) bool { return c.pick(dataCentre) != "" }

func (c *Client) pause(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused[address] = time.Now().Add(pauseTime)
}

var errNoDaemon = errors.New("no daemon of the data centre is known")

// Ask implements gateway.Asker.
func (c *Client) Ask(ctx context.Context, dataCentre string, ask gateway.Ask, dispatch func() bool, tell func(gateway.Told)) error {
	address := c.pick(dataCentre)
	if address == "" {
		return &backend.Error{Failure: backend.NotSent, Cause: errNoDaemon}
	}
	call, cancel := context.WithTimeout(ctx, ask.Left)
	defer cancel()
	// A daemon that has told nothing soon after its cut is silent.
	silent := time.AfterFunc(ask.Cut+slack, cancel)
	err := c.ask(call, address, ask, dispatch, func(t gateway.Told) {
		silent.Stop()
		tell(t)
	})
	if silent.Stop(); err != nil && ctx.Err() == nil {
		// The caller did not end it, so the daemon failed.
		c.pause(address)
	}
	return err
}

func (c *Client) ask(ctx context.Context, address string, ask gateway.Ask, dispatch func() bool, tell func(gateway.Told)) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	sent := false
	trace := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if sent = dispatch(); !sent {
			_ = info.Conn.Close()
		}
	}})
	req, err := http.NewRequestWithContext(trace, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	// Without GetBody net/http never sends the request a second time on its own.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return failure(ctx, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return &backend.Error{Failure: backend.NotSent, Cause: fmt.Errorf("refused by %s", address)}
	case resp.StatusCode != http.StatusOK:
		return &backend.Error{Failure: backend.ServerError, Cause: fmt.Errorf("%s answered %d", address, resp.StatusCode)}
	}
	parts := json.NewDecoder(io.LimitReader(resp.Body, maxBody))
	for {
		var told gateway.Told
		err := parts.Decode(&told)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return failure(ctx, sent, err)
		case len(told.Services) != len(told.Signatures):
			return &backend.Error{Failure: backend.Undecodable, Cause: errUneven}
		}
		tell(told)
	}
}

var errUneven = errors.New("not one signature per service")

func failure(ctx context.Context, sent bool, err error) error {
	switch {
	case !sent:
		return &backend.Error{Failure: backend.NotSent, Cause: err}
	case ctx.Err() != nil:
		return &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
	default:
		return &backend.Error{Failure: backend.ConnectionLost, Cause: err}
	}
}

// Teller answers asks.
type Teller interface {
	// Tell calls tell for each part of the answer. It returns an error, before any part, if nothing was sent.
	Tell(ctx context.Context, ask gateway.Ask, tell func(gateway.Told)) error
}

// Handler serves asks.
func Handler(teller Teller) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var ask gateway.Ask
		if err := httpjson.Read(r.Body, maxBody, &ask); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out := json.NewEncoder(w)
		flush := http.NewResponseController(w)
		err := teller.Tell(r.Context(), ask, func(t gateway.Told) {
			// An asking daemon that has left is noticed by the request's context.
			if out.Encode(t) == nil {
				_ = flush.Flush()
			}
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}
