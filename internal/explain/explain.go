// Package explain follows one request through the logs of the daemons that handled it and names the cause of its outcome.
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

// maxLine bounds a log line in bytes.
const maxLine = 4 << 20

// Line is the log line with which a daemon ended a request; its fields are those of the log.
type Line struct {
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

// Visit is what one daemon did for the request, and the daemons that it asked.
type Visit struct {
	Line
	Asked []*Visit `json:"asked,omitempty"`
}

// Explanation is what the logs say of a request.
type Explanation struct {
	Request string `json:"request"`
	// Visits holds the daemons that got the request from a caller, or whose asking daemon has no line, the first one first.
	Visits []*Visit `json:"visits"`
	// Cause is one sentence; empty if there is no line.
	Cause string `json:"cause"`
	// Lacking says what the logs do not have.
	Lacking []string `json:"lacking,omitempty"`
}

// Reader collects the lines of one request from logs. It is not safe for concurrent use.
type Reader struct {
	request string
	lines   []Line
	// dropped names the daemons that reported dropped lines; unreadable counts the lines that are no JSON.
	dropped    []string
	unreadable int
}

// NewReader returns a reader of the lines of a request.
func NewReader(request string) *Reader { return &Reader{request: request} }

// Read reads a log, plain or compressed with gzip. What stands before a line's first brace is passed over, such as the time
// that a collector adds.
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
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		r.take(scanner.Text())
	}
	return eris.Wrap(scanner.Err(), "log")
}

func (r *Reader) take(text string) {
	begin := strings.IndexByte(text, '{')
	isOfRequest := strings.Contains(text, r.request)
	if begin < 0 || !isOfRequest && !strings.Contains(text, eventlog.LinesDropped) {
		return
	}
	var line Line
	if err := json.Unmarshal([]byte(text[begin:]), &line); err != nil {
		r.unreadable++
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

// Explain returns what the logs that were read say.
func (r *Reader) Explain() Explanation {
	e := Explanation{Request: r.request}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	visits := make(map[string]*Visit, len(r.lines))
	for _, l := range r.lines {
		if visits[l.Node] == nil {
			visits[l.Node] = &Visit{Line: l}
		}
	}
	for _, l := range r.lines {
		v := visits[l.Node]
		if asker := visits[l.From]; l.From != "" && asker != nil && asker != v {
			if !slices.Contains(asker.Asked, v) {
				asker.Asked = append(asker.Asked, v)
			}
		} else if !slices.Contains(e.Visits, v) {
			e.Visits = append(e.Visits, v)
		}
	}
	e.Lacking = r.lacking(visits)
	if len(e.Visits) > 0 {
		e.Cause = cause(e.Visits[0])
	}
	return e
}

// lacking names what the logs do not have.
func (r *Reader) lacking(visits map[string]*Visit) (lacking []string) {
	if len(r.lines) == 0 {
		lacking = append(lacking, fmt.Sprintf("no line of request %s: it was answered without trouble (one of 64 is logged), or its daemon's log is not among these", r.request))
	}
	for _, v := range visits {
		if v.From != "" && visits[v.From] == nil {
			lacking = append(lacking, fmt.Sprintf("the log of %s, which passed the request on to %s", v.From, v.Node))
		}
		if missing := len(v.Helpers) - len(v.Asked); missing > 0 {
			lacking = append(lacking, fmt.Sprintf("the lines of %d of the daemons that %s asked (%s)", missing, v.Node, strings.Join(v.Helpers, ", ")))
		}
		if slices.Contains(r.dropped, v.Node) {
			lacking = append(lacking, fmt.Sprintf("lines that %s dropped", v.Node))
		}
	}
	if r.unreadable > 0 {
		lacking = append(lacking, fmt.Sprintf("%d lines that are no JSON", r.unreadable))
	}
	slices.Sort(lacking)
	return lacking
}

// attempts returns the attempts of the visit and of the daemons that it asked, as outcome and cause, most frequent first.
func (v *Visit) attempts() []string {
	counts := make(map[string]int)
	v.count(counts)
	kinds := make([]string, 0, len(counts))
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for i, kind := range kinds {
		kinds[i] = fmt.Sprintf("%d %s", counts[kind], kind)
	}
	return kinds
}

// count adds up the attempts at replicas; those at helpers are told by the helpers' own lines.
func (v *Visit) count(counts map[string]int) {
	for _, a := range v.Attempts {
		// Shard, replica or helper, outcome, cause, time.
		fields := strings.Fields(a)
		if len(fields) == 5 && !slices.Contains(v.Helpers, fields[1]) {
			counts[fields[2]+" "+fields[3]]++
		}
	}
	for _, asked := range v.Asked {
		asked.count(counts)
	}
}

// denied returns the extra attempts that a budget refused.
func (v *Visit) denied() int {
	n := v.Denied
	for _, asked := range v.Asked {
		n += asked.denied()
	}
	return n
}

// Write writes the explanation for people.
func (e Explanation) Write(out io.Writer) error {
	var b strings.Builder
	for _, v := range e.Visits {
		v.write(&b, "")
	}
	if e.Cause != "" {
		fmt.Fprintf(&b, "cause: %s\n", e.Cause)
	}
	for _, l := range e.Lacking {
		fmt.Fprintf(&b, "not in these logs: %s\n", l)
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
	for _, a := range v.Attempts {
		fmt.Fprintf(b, "%s  attempt %s\n", indent, a)
	}
	for _, asked := range v.Asked {
		asked.write(b, indent+"    ")
	}
}
