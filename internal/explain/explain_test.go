package explain

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/eventlog"
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

// mismatchedLog was recorded on one daemon. Both replicas of two of five shards responded with the id of another request.
const (
	mismatchedLog       = "testdata/mismatched-responses.log"
	mismatchedRequestID = "5c1e0a7794b2d3f6"
)

// TestExplainMismatchedResponses guards against a request that failed because of the responses to other requests, and whose
// explanation names only the shards without an answer.
func TestExplainMismatchedResponses(t *testing.T) {
	data, err := os.ReadFile(mismatchedLog)
	must.NoError(t, err)
	r := NewReader(mismatchedRequestID)
	must.NoError(t, r.Read(bytes.NewReader(data)))
	e := r.Explain()
	must.Len(t, 1, e.Visits)
	must.StrContains(t, e.Cause, "too few shards answered: 3 of 5")
	must.StrContains(t, e.Cause, "; replicas sent 4 responses that belong to other requests or carry no id, which were refused; "+
		"attempts without an answer: 4 failed mismatched")
	must.Len(t, 4, e.Responses)
	must.Eq(t, "15:37:26.528 edge-1: request 5c1e0a7794b2d3f6 to replica s2-1: a response with the id 05c1e0a7794b2d3f6, which none of the "+
		"latest requests on the connection has, with status 200 was refused", e.Responses[0])
	var out bytes.Buffer
	must.NoError(t, e.Write(&out))
	must.StrContains(t, out.String(), "\nresponse: 15:37:26.528 edge-1: request")
}

// TestExplainUnexpectedResponses checks the sentence for each event about a response, with the request's id as that of the
// request in flight or as the received one. A request that was served has no other trace in the logs.
func TestExplainUnexpectedResponses(t *testing.T) {
	const start = `{"ts":"2026-12-04T15:37:26.5Z","node":"edge-1","replica":"i-1",`
	for _, c := range []struct{ event, fields, want string }{
		{eventlog.ResponseMismatched, `"request":"r2","kind":"late_copy","received_id":"r1","requests_ago":1,"status":200`,
			"request r2 to replica i-1: a late second response to r1, the previous request on the connection, with status 200 was refused"},
		{eventlog.ResponseMismatched, `"request":"r3","kind":"other_id","received_id":"r1","requests_ago":2,"status":200`,
			"request r3 to replica i-1: a late second response to r1, 2 requests earlier on the connection, with status 200 was refused"},
		{eventlog.ResponseMismatched, `"request":"r1","kind":"no_id","received_id":"","status":503`,
			"request r1 to replica i-1: a response without an id with status 503 was refused"},
		{eventlog.ResponseEarly, `"request":"r1","received_id":"r1","status":200`,
			`request r1 to replica i-1: a response with the id "r1" and status 200 was received before the request was written`},
		{eventlog.ResponseEarly, `"request":"r1","received_id":"","status":0,"error":"reset"`,
			"request r1 to replica i-1: part of a response was received before the request was written"},
		{eventlog.RequestIDRepeated, `"request":"r1","requests_ago":3`,
			"request r1 to replica i-1: the connection carried the same id 3 requests earlier and was closed; another one was used"},
		{eventlog.PartNotSuccessful, `"request":"r1","status":404`,
			"request r1 to replica i-1: a response with status 404 was refused as a part of the answer"},
	} {
		line := fmt.Sprintf("%s%q:%q,%s}\n", start, "msg", c.event, c.fields)
		r := NewReader("r1")
		must.NoError(t, r.Read(strings.NewReader(line+strings.ReplaceAll(line, `"r1"`, `"r1-other"`))))
		must.Eq(t, []string{"15:37:26.500 edge-1: " + c.want}, r.Explain().Responses)
	}
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
