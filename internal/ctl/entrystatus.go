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
	// statusPath is the path of a daemon's status endpoint.
	statusPath = "/v1/status"
	// statusTimeout limits a status request.
	statusTimeout = 2 * time.Second
	// maxStatusBytes limits the size of a status response.
	maxStatusBytes = 8 << 20
	// pollInterval is the time between two status requests to all daemons.
	pollInterval = 250 * time.Millisecond
	// defaultWaitTimeout is the time within which every daemon applies an accepted change.
	defaultWaitTimeout = 11 * time.Second
)

// httpStatus returns a function that reads the status of a daemon over HTTP and decodes it into a T.
func httpStatus[T any](client *http.Client) func(ctx context.Context, url string) (T, error) {
	return func(ctx context.Context, url string) (T, error) {
		var status T
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(url, "/")+statusPath, nil)
		if err != nil {
			return status, eris.Wrapf(err, "read the status of %s", url)
		}
		resp, err := client.Do(req)
		if err != nil {
			return status, eris.Wrapf(err, "read the status of %s", url)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return status, eris.Errorf("the status endpoint returned HTTP status %d; is this the operator address?", resp.StatusCode)
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
		return status, eris.Wrapf(err, "read the status of %s", url)
	}
}

// daemonStatus is the result of a status request to one daemon.
type daemonStatus struct {
	url    string
	status entry.Status
	err    error
}

// readStatuses requests the status of all daemons concurrently. The results are in the order of the URLs.
func (a *app) readStatuses(ctx context.Context, urls []string) []daemonStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	results := make([]daemonStatus, len(urls))
	var wg sync.WaitGroup
	for i, url := range urls {
		wg.Go(func() {
			status, err := a.env.EntryStatus(ctx, url)
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

func entryURLs(cmd *cli.Command) ([]string, error) {
	urls := cmd.StringSlice("entry")
	if len(urls) == 0 {
		return nil, usagef("no entry daemon: use --entry URL for each daemon or set CHIVEMILL_ENTRY")
	}
	seen := make(map[string]bool)
	for _, u := range urls {
		if seen[u] {
			return nil, usagef("--entry %s is repeated", u)
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
			&cli.DurationFlag{Name: "timeout", Usage: "maximum `TIME` to wait", Value: defaultWaitTimeout},
		},
		Action: a.profileWait,
	}
}

func (a *app) profileWait(ctx context.Context, cmd *cli.Command) error {
	argv, err := positionalArgs(cmd, "NAME")
	if err != nil {
		return err
	}
	urls, err := entryURLs(cmd)
	if err != nil {
		return err
	}
	revision := cmd.Int64("revision")
	if !cmd.IsSet("revision") {
		p, err := a.storedProfile(ctx, cmd)
		if err != nil {
			return err
		}
		revision = p.Revision
	}
	return a.wait(ctx, argv[0], revision, urls, cmd.Duration("timeout"))
}

// waitOutput is the JSON output of wait. InForce counts the daemons on which the revision or a later one is in force.
type waitOutput struct {
	Profile  string             `json:"profile"`
	Revision int64              `json:"revision"`
	InForce  int                `json:"in_force"`
	Total    int                `json:"total"`
	Daemons  []waitDaemonOutput `json:"daemons"`
}

type waitDaemonOutput struct {
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
		output := waitProgress(name, revision, a.readStatuses(ctx, urls))
		if output.InForce == output.Total {
			a.printWait(output)
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-deadline.Done():
			a.printWait(output)
			return &failure{code: ExitTimeout, kind: "timeout", revision: revision, printed: a.json,
				err: eris.Errorf("revision %d of profile %s is in force on %d of %d daemons after %s",
					revision, name, output.InForce, output.Total, time.Since(start).Round(time.Millisecond)),
				hint: "An accepted change stays accepted. Check the daemons listed with state 'behind' or an error."}
		}
	}
}

func waitProgress(name string, revision int64, daemons []daemonStatus) waitOutput {
	output := waitOutput{Profile: name, Revision: revision, Total: len(daemons)}
	for _, d := range daemons {
		daemon := waitDaemonOutput{Entry: d.url, Node: d.status.Node, Revision: d.status.Profiles[name]}
		daemon.InForce = d.err == nil && daemon.Revision >= revision
		if d.err != nil {
			daemon.Error = d.err.Error()
		}
		if daemon.InForce {
			output.InForce++
		}
		output.Daemons = append(output.Daemons, daemon)
	}
	return output
}

func (a *app) printWait(output waitOutput) {
	if a.json {
		a.writeJSON(output)
		return
	}
	rows := make([][]string, len(output.Daemons))
	for i, d := range output.Daemons {
		state := "behind"
		switch {
		case d.Error != "":
			state = d.Error
		case d.InForce:
			state = "in force"
		}
		rows[i] = []string{d.Entry, orDash(d.Node), strconv.FormatInt(d.Revision, 10), state}
	}
	a.writeTable([]string{"ENTRY", "NODE", "REVISION", "STATE"}, rows)
	a.printf("profile %s revision %d: in force on %d of %d daemons\n", output.Profile, output.Revision, output.InForce, output.Total)
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

// statusOutput is the JSON output of status for one daemon.
type statusOutput struct {
	Entry  string        `json:"entry"`
	Status *entry.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	if _, err := positionalArgs(cmd); err != nil {
		return err
	}
	urls, err := entryURLs(cmd)
	if err != nil {
		return err
	}
	daemons := a.readStatuses(ctx, urls)
	var failed []error
	outputs := make([]statusOutput, len(daemons))
	rows := make([][]string, len(daemons))
	for i, d := range daemons {
		if d.err != nil {
			failed = append(failed, d.err)
			outputs[i] = statusOutput{Entry: d.url, Error: d.err.Error()}
			rows[i] = []string{d.url, "-", "-", "-", "-", "-", d.err.Error()}
			continue
		}
		outputs[i] = statusOutput{Entry: d.url, Status: &d.status}
		rows[i] = []string{d.url, d.status.Node, d.status.DataCentre, strconv.FormatInt(d.status.ConfigurationRevision, 10),
			configurationText(d.status), strconv.Itoa(countLiveMembers(d.status)), readyText(d.status.Ready)}
	}
	if a.json {
		a.writeJSON(outputs)
	} else {
		a.writeTable([]string{"ENTRY", "NODE", "DATA CENTRE", "REVISION", "CONFIGURATION", "MEMBERS", "STATE"}, rows)
	}
	if len(failed) > 0 {
		return a.unreachableError(len(failed), len(daemons), errors.Join(failed...))
	}
	return nil
}

// configurationText returns the state of the daemon's configuration and, unless it is unknown, the time since the
// configuration was last confirmed.
func configurationText(s entry.Status) string {
	if s.ConfigurationState == string(confsync.Unknown) {
		return s.ConfigurationState
	}
	return fmt.Sprintf("%s %.1fs", s.ConfigurationState, float64(s.ConfigurationAgeMS)/1000)
}

// countLiveMembers returns the number of entry daemons that the daemon considers live, including itself. Suspect members
// are live.
func countLiveMembers(s entry.Status) int {
	n := 0
	for _, state := range s.Members {
		if state == membership.Alive.String() || state == membership.Suspect.String() {
			n++
		}
	}
	return n
}

// unreachableError returns the failure of the status command. With --output json the output already contains the
// daemons' errors.
func (a *app) unreachableError(failed, total int, cause error) error {
	return &failure{code: ExitUnavailable, kind: "unavailable", printed: a.json,
		err: eris.Errorf("%d of %d entry daemons did not answer: %s", failed, total, oneLine(cause))}
}

func readyText(ok bool) string {
	if ok {
		return "ready"
	}
	return "not ready"
}
