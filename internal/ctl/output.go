package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// failureOutput is the JSON output of a failed command.
type failureOutput struct {
	Error failureDetails `json:"error"`
}

type failureDetails struct {
	Kind     string   `json:"kind"`
	Message  string   `json:"message"`
	Hint     string   `json:"hint,omitempty"`
	ExitCode int      `json:"exit_code"`
	Revision int64    `json:"revision,omitempty"`
	Services []string `json:"services,omitempty"`
	Diff     string   `json:"diff,omitempty"`
}

// reportFailure writes a failure to standard error or, with --output json, as JSON to standard output. The diff of a
// conflict is written to standard output.
func (a *app) reportFailure(f *failure) {
	if a.json && f.printed {
		return
	}
	if a.json {
		a.writeJSON(failureOutput{failureDetails{
			Kind: f.kind, Message: f.err.Error(), Hint: f.hint, ExitCode: f.code,
			Revision: f.revision, Services: f.services, Diff: f.diff,
		}})
		return
	}
	if f.diff != "" {
		a.printf("%s", f.diff)
	}
	fmt.Fprintln(a.env.Err, "chivemillctl: "+f.Error())
}

func (a *app) writeJSON(value any) {
	enc := json.NewEncoder(a.env.Out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(value)
}

// writeTable writes rows of equal length as aligned columns.
func (a *app) writeTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}
