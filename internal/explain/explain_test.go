package explain

import (
	"bytes"
	"compress/gzip"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
)

// lostHelperLog was recorded on three daemons of a fleet of 195. The first daemon delegated to a helper, which delegated to
// another one. The first part of the answer was lost, and with it the answers of the replicas.
const (
	lostHelperLog = "testdata/lost-helper.log"
	requestID     = "4fda7b87e108d0b5"
)

func explainLogs(t *testing.T, logs ...string) Explanation {
	r := NewReader(requestID)
	for _, log := range logs {
		must.NoError(t, r.Read(strings.NewReader(log)))
	}
	return r.Explain()
}

func readRecordedLines(t *testing.T) []string {
	data, err := os.ReadFile(lostHelperLog)
	must.NoError(t, err)
	return strings.SplitAfter(strings.TrimSpace(string(data)), "\n")
}

// TestExplainDelegatedRequest checks that the trace and the cause of a delegated request do not depend on the order in
// which the logs are read.
func TestExplainDelegatedRequest(t *testing.T) {
	lines := readRecordedLines(t)
	must.Len(t, 3, lines)
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		e := explainLogs(t, lines[order[0]], lines[order[1]], lines[order[2]])
		must.Len(t, 1, e.Visits)
		first := e.Visits[0]
		must.Eq(t, "edge-aveiro-a-29", first.Node)
		must.Eq(t, "edge-aveiro-a-2", first.Delegates[0].Node)
		must.Eq(t, "edge-coimbra-a-3", first.Delegates[0].Delegates[0].Node)
		must.SliceEmpty(t, e.MissingLogs)
		must.StrContains(t, e.Cause, "too few shards answered")
		must.StrContains(t, e.Cause, "whose answer was lost or late: 10.5.0.9:8346")
		must.StrContains(t, e.Cause, "6 abandoned cancelled")
		must.StrContains(t, e.Cause, "the retry budget denied 13 extra attempts")
		var out bytes.Buffer
		must.NoError(t, e.Write(&out))
		must.StrContains(t, out.String(), "        20:56:51.225 edge-coimbra-a-3: caller_left after 441 of 1492 ms")
	}
}

// TestExplainReportsMissingLogs guards against wrong conclusions from incomplete logs.
func TestExplainReportsMissingLogs(t *testing.T) {
	lines := readRecordedLines(t)
	must.StrContains(t, strings.Join(explainLogs(t, lines[0]).MissingLogs, "\n"),
		"lines of 1 of the daemons to which edge-aveiro-a-29 delegated")
	e := explainLogs(t, lines[2])
	must.StrContains(t, e.MissingLogs[0], "the log of edge-aveiro-a-2, which delegated the request")
	e = explainLogs(t, "", lines[0]+`{"msg":"log lines dropped","node":"edge-aveiro-a-29"}`+"\n"+`{"request":"`+requestID+"\n", lines[1], lines[2])
	must.Eq(t, []string{"1 lines that are not valid JSON", "lines that edge-aveiro-a-29 dropped"}, e.MissingLogs)
	e = explainLogs(t, "")
	must.SliceEmpty(t, e.Visits)
	must.StrContains(t, e.MissingLogs[0], "no line of request "+requestID)
}

// TestReadGzip checks that logs compressed by a collector can be read.
func TestReadGzip(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write([]byte(strings.Join(readRecordedLines(t), "")))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	r := NewReader(requestID)
	must.NoError(t, r.Read(&compressed))
	must.Len(t, 1, r.Explain().Visits)
}

// TestCause checks that every error kind has a well-formed cause, and the causes of a partial answer and of one that a
// replica gave with an error status.
func TestCause(t *testing.T) {
	for _, kind := range api.Kinds() {
		got := cause(&Visit{LogLine: LogLine{Result: string(kind), Reason: "why"}})
		must.False(t, strings.Contains(got, "%!"), must.Sprint(got))
		must.NotEq(t, "", got)
	}
	must.Eq(t, "a replica answered with status 504, which was forwarded to the caller; attempts without an answer: 1 failed server_error",
		cause(&Visit{LogLine: LogLine{Result: resultPassedError, Status: 504, Attempts: []string{"o o-1 failed server_error 9ms"}}}))
	must.Eq(t, "2 of 42 shards had no answer when the response was sent",
		cause(&Visit{LogLine: LogLine{Result: resultPartial, Missing: 2, Shards: 42}}))
}
