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

// lostHelper is a log of three daemons of a fleet of 195: one asked a helper, which asked another one; the first part of
// the answer was lost on the way, with the replicas' answers.
const (
	lostHelper = "testdata/lost-helper.log"
	request    = "4fda7b87e108d0b5"
)

func read(t *testing.T, logs ...string) Explanation {
	r := NewReader(request)
	for _, log := range logs {
		must.NoError(t, r.Read(strings.NewReader(log)))
	}
	return r.Explain()
}

func recorded(t *testing.T) []string {
	data, err := os.ReadFile(lostHelper)
	must.NoError(t, err)
	return strings.SplitAfter(strings.TrimSpace(string(data)), "\n")
}

// TestFollowsARequestOverHelpers guards the way from a request's id to its cause, in whatever order the logs are read.
func TestFollowsARequestOverHelpers(t *testing.T) {
	lines := recorded(t)
	must.Len(t, 3, lines)
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		e := read(t, lines[order[0]], lines[order[1]], lines[order[2]])
		must.Len(t, 1, e.Visits)
		first := e.Visits[0]
		must.Eq(t, "edge-aveiro-a-29", first.Node)
		must.Eq(t, "edge-aveiro-a-2", first.Asked[0].Node)
		must.Eq(t, "edge-coimbra-a-3", first.Asked[0].Asked[0].Node)
		must.SliceEmpty(t, e.Lacking)
		must.StrContains(t, e.Cause, "too few shards answered")
		must.StrContains(t, e.Cause, "whose answer did not come: 10.5.0.9:8346")
		must.StrContains(t, e.Cause, "6 abandoned cancelled")
		must.StrContains(t, e.Cause, "the budget of extra attempts refused 13")
		var out bytes.Buffer
		must.NoError(t, e.Write(&out))
		must.StrContains(t, out.String(), "        20:56:51.225 edge-coimbra-a-3: caller_left after 441 of 1492 ms")
	}
}

// TestSaysWhatIsMissing guards operators against a wrong conclusion from logs that are not complete.
func TestSaysWhatIsMissing(t *testing.T) {
	lines := recorded(t)
	must.StrContains(t, strings.Join(read(t, lines[0]).Lacking, "\n"), "lines of 1 of the daemons that edge-aveiro-a-29 asked")
	e := read(t, lines[2])
	must.StrContains(t, e.Lacking[0], "the log of edge-aveiro-a-2, which passed the request on")
	e = read(t, "", lines[0]+`{"msg":"log lines dropped","node":"edge-aveiro-a-29"}`+"\n"+`{"request":"`+request+"\n", lines[1], lines[2])
	must.Eq(t, []string{"1 lines that are no JSON", "lines that edge-aveiro-a-29 dropped"}, e.Lacking)
	e = read(t, "")
	must.SliceEmpty(t, e.Visits)
	must.StrContains(t, e.Lacking[0], "no line of request "+request)
}

// TestReadsGzip guards logs that a collector has compressed.
func TestReadsGzip(t *testing.T) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write([]byte(strings.Join(recorded(t), "")))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	r := NewReader(request)
	must.NoError(t, r.Read(&packed))
	must.Len(t, 1, r.Explain().Visits)
}

// TestCauses guards the sentence for each error kind that a daemon of the platform gives.
func TestCauses(t *testing.T) {
	for _, kind := range api.Kinds() {
		got := cause(&Visit{Line: Line{Result: string(kind), Reason: "why"}})
		must.False(t, strings.Contains(got, "%!"), must.Sprint(got))
		must.NotEq(t, "", got)
	}
	must.Eq(t, "a replica answered it with status 504, which was passed on; attempts without an answer: 1 failed server_error",
		cause(&Visit{Line: Line{Result: resultPassed, Status: 504, Attempts: []string{"o o-1 failed server_error 9ms"}}}))
	must.Eq(t, "2 of 42 shards had no answer when it had to leave", cause(&Visit{Line: Line{Result: resultPartial, Missing: 2, Shards: 42}}))
}
