// Package explain traces a request through the logs of the daemons that handled it and describes the cause of its
// outcome.
package explain

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/eventlog"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 4 << 20

// LogLine is the log line that a daemon writes at the end of a request. The tags are the keys of the log fields.
//
// TookMS is the time from receipt of the caller's request to the answer, and WaitMS the time that the caller is willing to
// wait, 0 if unknown, both in milliseconds. From is the daemon that delegated the request. Sent is the number of
// sub-requests that this daemon sent to replicas, Denied the number of extra ones that the budget denied.
type LogLine struct {
	Time      time.Time `json:"ts"`
	Event     string    `json:"msg"`
	Node      string    `json:"node"`
	Request   string    `json:"request"`
	Result    string    `json:"result"`
	Reason    string    `json:"reason,omitempty"`
	Status    int       `json:"status,omitempty"`
	TookMS    float64   `json:"took_ms"`
	WaitMS    float64   `json:"wait_ms"`
	RetryMS   float64   `json:"retry_after_ms,omitempty"`
	From      string    `json:"from,omitempty"`
	Helpers   []string  `json:"helpers,omitempty"`
	Route     string    `json:"route,omitempty"`
	Version   int64     `json:"version,omitempty"`
	ListAgeMS float64   `json:"list_age_ms,omitempty"`
	Shards    int       `json:"shards,omitempty"`
	Missing   int       `json:"missing,omitempty"`
	Sent      int       `json:"sent,omitempty"`
	Hedges    int       `json:"hedges,omitempty"`
	Retries   int       `json:"retries,omitempty"`
	Denied    int       `json:"denied,omitempty"`
	Attempts  []string  `json:"attempts,omitempty"`
}

// Visit is the handling of the request by one daemon, with that of the daemons to which it delegated.
type Visit struct {
	LogLine
	Delegates []*Visit `json:"asked,omitempty"`
}

// Explanation is the trace of a request, reconstructed from logs.
type Explanation struct {
	Request string `json:"request"`
	// Visits holds the daemons that received the request from the caller, or from a daemon whose log line is missing, in
	// order of time.
	Visits []*Visit `json:"visits"`
	// Cause is one sentence, empty if the logs do not contain the request.
	Cause string `json:"cause"`
	// Responses describes the unexpected responses of replicas that concern the request, in order of time.
	Responses []string `json:"responses,omitempty"`
	// MissingLogs describes the information that is missing from the logs.
	MissingLogs []string `json:"lacking,omitempty"`
}

// Reader collects the log lines of one request. It is not safe for concurrent use.
type Reader struct {
	request string
	lines   []LogLine
	// responses holds the lines of unexpected responses that concern the request.
	responses []responseLine
	// dropped holds the nodes that reported dropped log lines; unreadable counts the lines that are not valid JSON.
	dropped    []string
	unreadable int
}

// NewReader returns a reader for the request with this ID.
func NewReader(request string) *Reader { return &Reader{request: request} }

// Read reads a plain or gzip-compressed log. Text before the first brace of a line, such as a timestamp added by a log
// collector, is skipped. A line of 4 MiB or more is an error.
func (r *Reader) Read(log io.Reader) error {
	buffered := bufio.NewReader(log)
	if magic, err := buffered.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		plain, err := gzip.NewReader(buffered)
		if err != nil {
			return eris.Wrap(err, "log")
		}
		buffered = bufio.NewReader(plain)
	}
	scanner := bufio.NewScanner(buffered)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.parseLine(scanner.Text())
	}
	return eris.Wrap(scanner.Err(), "log")
}

func (r *Reader) parseLine(text string) {
	start := strings.IndexByte(text, '{')
	isOfRequest := strings.Contains(text, r.request)
	if start < 0 || !isOfRequest && !strings.Contains(text, eventlog.LinesDropped) {
		return
	}
	var line LogLine
	if err := json.Unmarshal([]byte(text[start:]), &line); err != nil {
		r.unreadable++
		return
	}
	if response, ok := parseResponse(line.Event, text[start:]); ok {
		if response.concerns(r.request) {
			r.responses = append(r.responses, response)
		}
		return
	}
	switch {
	case line.Event == eventlog.LinesDropped:
		if !slices.Contains(r.dropped, line.Node) {
			r.dropped = append(r.dropped, line.Node)
		}
	case line.Request == r.request && line.Result != "":
		r.lines = append(r.lines, line)
	}
}

// Explain returns the explanation of the request from the logs read so far.
func (r *Reader) Explain() Explanation {
	e := Explanation{Request: r.request}
	slices.SortStableFunc(r.lines, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	visitByNode := make(map[string]*Visit, len(r.lines))
	for _, line := range r.lines {
		if visitByNode[line.Node] == nil {
			visitByNode[line.Node] = &Visit{LogLine: line}
		}
	}
	for _, line := range r.lines {
		v := visitByNode[line.Node]
		if delegator := visitByNode[line.From]; line.From != "" && delegator != nil && delegator != v {
			if !slices.Contains(delegator.Delegates, v) {
				delegator.Delegates = append(delegator.Delegates, v)
			}
		} else if !slices.Contains(e.Visits, v) {
			e.Visits = append(e.Visits, v)
		}
	}
	slices.SortStableFunc(r.responses, func(a, b responseLine) int { return a.Time.Compare(b.Time) })
	for _, response := range r.responses {
		e.Responses = append(e.Responses, response.String())
	}
	e.MissingLogs = r.describeMissing(visitByNode)
	if len(e.Visits) > 0 {
		e.Cause = cause(e.Visits[0])
	}
	return e
}

// describeMissing returns descriptions of the information that is missing from the logs.
func (r *Reader) describeMissing(visitByNode map[string]*Visit) (descriptions []string) {
	if len(r.lines) == 0 {
		descriptions = append(descriptions,
			fmt.Sprintf("no line of request %s: it was answered without problems (one in 64 such requests is logged), or the log of its daemon is not among these", r.request))
	}
	for _, v := range visitByNode {
		if v.From != "" && visitByNode[v.From] == nil {
			descriptions = append(descriptions, fmt.Sprintf("the log of %s, which delegated the request to %s", v.From, v.Node))
		}
		if missing := len(v.Helpers) - len(v.Delegates); missing > 0 {
			descriptions = append(descriptions, fmt.Sprintf("the lines of %d of the daemons to which %s delegated (%s)", missing,
				v.Node, strings.Join(v.Helpers, ", ")))
		}
		if slices.Contains(r.dropped, v.Node) {
			descriptions = append(descriptions, fmt.Sprintf("lines that %s dropped", v.Node))
		}
	}
	if r.unreadable > 0 {
		descriptions = append(descriptions, fmt.Sprintf("%d lines that are not valid JSON", r.unreadable))
	}
	slices.Sort(descriptions)
	return descriptions
}

// attemptCounts returns the outcomes and causes of the attempts of this daemon and the daemons to which it delegated,
// with their counts, most frequent first.
func (v *Visit) attemptCounts() []string {
	counts := make(map[string]int)
	v.countAttempts(counts)
	outcomes := make([]string, 0, len(counts))
	for outcome := range counts {
		outcomes = append(outcomes, outcome)
	}
	slices.SortFunc(outcomes, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for i, outcome := range outcomes {
		outcomes[i] = fmt.Sprintf("%d %s", counts[outcome], outcome)
	}
	return outcomes
}

// countAttempts counts the attempts at replicas by outcome and cause. Attempts at helpers are skipped, because the
// helpers' own log lines report them.
func (v *Visit) countAttempts(counts map[string]int) {
	for _, attempt := range v.Attempts {
		// The fields are shard, replica or helper, outcome, cause and duration.
		fields := strings.Fields(attempt)
		if len(fields) == 5 && !slices.Contains(v.Helpers, fields[1]) {
			counts[fields[2]+" "+fields[3]]++
		}
	}
	for _, delegate := range v.Delegates {
		delegate.countAttempts(counts)
	}
}

// countDenied returns the number of extra attempts that the budgets denied.
func (v *Visit) countDenied() int {
	n := v.Denied
	for _, delegate := range v.Delegates {
		n += delegate.countDenied()
	}
	return n
}

// Write writes the explanation as text.
func (e Explanation) Write(out io.Writer) error {
	var b strings.Builder
	for _, v := range e.Visits {
		v.write(&b, "")
	}
	if e.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", e.Cause)
	}
	for _, response := range e.Responses {
		fmt.Fprintf(&b, "response: %s\n", response)
	}
	for _, description := range e.MissingLogs {
		fmt.Fprintf(&b, "not in these logs: %s\n", description)
	}
	_, err := io.WriteString(out, b.String())
	return eris.Wrap(err, "output")
}

func (v *Visit) write(b *strings.Builder, indent string) {
	fmt.Fprintf(b, "%s%s %s: %s after %.0f of %.0f ms", indent, v.Time.Format("15:04:05.000"), v.Node, v.Result, v.TookMS, v.WaitMS)
	if v.Reason != "" {
		fmt.Fprintf(b, ": %s", v.Reason)
	}
	b.WriteByte('\n')
	if v.Route != "" {
		fmt.Fprintf(b, "%s  route %s, version %d, list %.0f ms old\n", indent, v.Route, v.Version, v.ListAgeMS)
	}
	if v.Shards > 0 {
		fmt.Fprintf(b, "%s  %d shards, %d without an answer; %d sent, %d hedges, %d retries, %d denied by the budget\n", indent,
			v.Shards, v.Missing, v.Sent, v.Hedges, v.Retries, v.Denied)
	}
	for _, attempt := range v.Attempts {
		fmt.Fprintf(b, "%s  attempt %s\n", indent, attempt)
	}
	for _, delegate := range v.Delegates {
		delegate.write(b, indent+"    ")
	}
}
