package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/membership"
)

const (
	// statusPath is the operators' status endpoint of an entry daemon.
	statusPath = "/v1/status"
	// statusTimeout bounds one read of a daemon's status.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the size of a status body.
	maxStatusBytes = 8 << 20
	// pollInterval is the time between two reads of all daemons' status.
	pollInterval = 250 * time.Millisecond
	// defaultWait is the bound within which an accepted change is in force everywhere.
	defaultWait = 11 * time.Second
)

// httpStatus returns a function that reads a daemon's status of type T over HTTP.
func httpStatus[T any](client *http.Client) func(ctx context.Context, url string) (T, error) {
	return func(ctx context.Context, url string) (T, error) {
		var status T
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(url, "/")+statusPath, nil)
		if err != nil {
			return status, eris.Wrap(err, "status")
		}
		resp, err := client.Do(req)
		if err != nil {
			return status, eris.Wrap(err, "status")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return status, eris.Errorf("status answered %d; is this the operator address?", resp.StatusCode)
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
		return status, eris.Wrap(err, "status")
	}
}

// daemonStatus is the result of reading one daemon.
type daemonStatus struct {
	url    string
	status entry.Status
	err    error
}

// readAll reads all daemons at the same time. The result has the order of the URLs.
func (a *app) readAll(ctx context.Context, urls []string) []daemonStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	results := make([]daemonStatus, len(urls))
	var wg sync.WaitGroup
	for i, url := range urls {
		wg.Go(func() {
			status, err := a.env.Status(ctx, url)
			results[i] = daemonStatus{url, status, err}
		})
	}
	wg.Wait()
	return results
}

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Sources: cli.EnvVars("CHIVEMILL_ENTRY"),
		Usage: "operator `URL` of an entry daemon, repeatable, such as http://10.0.0.1:9080"}
}

func entries(cmd *cli.Command) ([]string, error) {
	urls := cmd.StringSlice("entry")
	if len(urls) == 0 {
		return nil, usagef("no entry daemon: give --entry URL for each daemon or set CHIVEMILL_ENTRY")
	}
	seen := make(map[string]bool)
	for _, u := range urls {
		if seen[u] {
			return nil, usagef("--entry %s is given twice", u)
		}
		seen[u] = true
	}
	return urls, nil
}

func (a *app) waitCommand() *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a profile's revision is in force on all given entry daemons", ArgsUsage: "NAME",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "revision", Usage: "`REVISION` to wait for", DefaultText: "the stored one, which needs --store"},
			entryFlag(),
			&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` to wait", Value: defaultWait},
		},
		Action: a.profileWait,
	}
}

func (a *app) profileWait(ctx context.Context, cmd *cli.Command) error {
	argv, err := args(cmd, "NAME")
	if err != nil {
		return err
	}
	urls, err := entries(cmd)
	if err != nil {
		return err
	}
	revision := cmd.Int64("revision")
	if !cmd.IsSet("revision") {
		p, err := a.stored(ctx, cmd)
		if err != nil {
			return err
		}
		revision = p.Revision
	}
	return a.wait(ctx, argv[0], revision, urls, cmd.Duration("timeout"))
}

// waitBody is the JSON output of wait. InForce counts the daemons that have the revision or a later one.
type waitBody struct {
	Profile  string       `json:"profile"`
	Revision int64        `json:"revision"`
	InForce  int          `json:"in_force"`
	Total    int          `json:"total"`
	Daemons  []waitDaemon `json:"daemons"`
}

type waitDaemon struct {
	Entry    string `json:"entry"`
	Node     string `json:"node,omitempty"`
	Revision int64  `json:"revision"`
	InForce  bool   `json:"in_force"`
	Error    string `json:"error,omitempty"`
}

// wait polls the daemons until the revision is in force on all of them or the timeout has passed.
func (a *app) wait(ctx context.Context, name string, revision int64, urls []string, timeout time.Duration) error {
	start := time.Now()
	deadline, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		body := progress(name, revision, a.readAll(ctx, urls))
		if body.InForce == body.Total {
			a.printWait(body)
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-deadline.Done():
			a.printWait(body)
			return &failure{code: ExitTimeout, kind: "timeout", revision: revision, printed: a.json,
				err: eris.Errorf("revision %d of profile %s is in force on %d of %d daemons after %s",
					revision, name, body.InForce, body.Total, time.Since(start).Round(time.Millisecond)),
				hint: "An accepted change stays accepted. Look at the daemons listed with state 'behind' or an error."}
		}
	}
}

func progress(name string, revision int64, daemons []daemonStatus) waitBody {
	body := waitBody{Profile: name, Revision: revision, Total: len(daemons)}
	for _, d := range daemons {
		line := waitDaemon{Entry: d.url, Node: d.status.Node, Revision: d.status.Profiles[name]}
		line.InForce = d.err == nil && line.Revision >= revision
		if d.err != nil {
			line.Error = d.err.Error()
		}
		if line.InForce {
			body.InForce++
		}
		body.Daemons = append(body.Daemons, line)
	}
	return body
}

func (a *app) printWait(body waitBody) {
	if a.json {
		a.writeJSON(body)
		return
	}
	rows := make([][]string, len(body.Daemons))
	for i, d := range body.Daemons {
		state := "behind"
		switch {
		case d.Error != "":
			state = d.Error
		case d.InForce:
			state = "in force"
		}
		rows[i] = []string{d.Entry, orDash(d.Node), strconv.FormatInt(d.Revision, 10), state}
	}
	a.table([]string{"ENTRY", "NODE", "REVISION", "STATE"}, rows)
	a.printf("profile %s revision %d: in force on %d of %d daemons\n", body.Profile, body.Revision, body.InForce, body.Total)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the configuration revisions of the given entry daemons",
		Flags: []cli.Flag{entryFlag()}, Action: a.status,
	}
}

// statusBody is the JSON output of status for one daemon.
type statusBody struct {
	Entry  string        `json:"entry"`
	Status *entry.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	if _, err := args(cmd); err != nil {
		return err
	}
	urls, err := entries(cmd)
	if err != nil {
		return err
	}
	daemons := a.readAll(ctx, urls)
	var failed []error
	bodies := make([]statusBody, len(daemons))
	rows := make([][]string, len(daemons))
	for i, d := range daemons {
		if d.err != nil {
			failed = append(failed, d.err)
			bodies[i] = statusBody{Entry: d.url, Error: d.err.Error()}
			rows[i] = []string{d.url, "-", "-", "-", "-", "-", d.err.Error()}
			continue
		}
		bodies[i] = statusBody{Entry: d.url, Status: &d.status}
		rows[i] = []string{d.url, d.status.Node, d.status.DataCentre, strconv.FormatInt(d.status.Revision, 10),
			configuration(d.status), strconv.Itoa(liveMembers(d.status)), ready(d.status.Ready)}
	}
	if a.json {
		a.writeJSON(bodies)
	} else {
		a.table([]string{"ENTRY", "NODE", "DATA CENTRE", "REVISION", "CONFIGURATION", "MEMBERS", "STATE"}, rows)
	}
	if len(failed) > 0 {
		return a.unreachable(len(failed), len(daemons), errors.Join(failed...))
	}
	return nil
}

// configuration tells whether the daemon knows that its configuration is current, with the age of the confirmation.
func configuration(s entry.Status) string {
	if s.Configuration == string(confsync.Unknown) {
		return s.Configuration
	}
	return fmt.Sprintf("%s %.1fs", s.Configuration, float64(s.ConfigurationAgeMS)/1000)
}

// liveMembers counts the entry daemons that the daemon takes as live, itself included.
func liveMembers(s entry.Status) int {
	n := 0
	for _, state := range s.Members {
		if state == membership.Alive.String() || state == membership.Suspect.String() {
			n++
		}
	}
	return n
}

// unreachable is the failure of status. With --output json the daemons' errors are in the body already.
func (a *app) unreachable(failed, total int, cause error) error {
	return &failure{code: ExitUnavailable, kind: "unavailable", printed: a.json,
		err: eris.Errorf("%d of %d entry daemons did not answer: %s", failed, total, oneLine(cause))}
}

func ready(ok bool) string {
	if ok {
		return "ready"
	}
	return "not ready"
}
