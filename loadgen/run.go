package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
)

const (
	// maxAnswer bounds an answer's body in bytes.
	maxAnswer = 64 << 20
	// answerSlack is added to the deadline before the client gives up on an answer.
	answerSlack = 2 * time.Second
	// defaultTimeout bounds the wait for an answer when the request states no deadline.
	defaultTimeout = 65 * time.Second
)

// Results of a request that are not an error kind of the closed list.
const (
	ResultOK = "ok"
	// ResultBroken is an answer that breaks a promise: cut off, or of another request.
	ResultBroken = "broken_answer"
	// ResultTransport is a connection that failed before a whole answer arrived.
	ResultTransport = "transport_error"
)

// outcome is what became of one request.
type outcome struct {
	result   string
	latency  time.Duration
	coverage *api.Coverage
	version  string
}

// Run sends the load and returns its result. It ends after the last answer, or when ctx ends.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	recorder := newRecorder()
	start := time.Now()
	var wg sync.WaitGroup
	for i, at := range plan.Arrivals() {
		if !sleepUntil(ctx, start.Add(at)) {
			break
		}
		planned := start.Add(at)
		wg.Go(func() {
			o := send(ctx, client, plan, i)
			o.latency = time.Since(planned)
			recorder.add(o)
		})
	}
	wg.Wait()
	return recorder.result(plan, time.Since(start))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func send(ctx context.Context, client *http.Client, plan Plan, i int) outcome {
	timeout := defaultTimeout
	if plan.Deadline > 0 {
		timeout = plan.Deadline + answerSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nonce := uuid.NewString()
	body, err := json.Marshal(api.Query{
		Service: plan.Service, Query: plan.Queries[i%len(plan.Queries)],
		DeadlineMS: plan.Deadline.Milliseconds(), Nonce: nonce,
	})
	if err != nil {
		return outcome{result: ResultTransport}
	}
	url := strings.TrimRight(plan.Targets[i%len(plan.Targets)], "/") + api.QueryPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome{result: ResultTransport}
	}
	if plan.NonIdempotent {
		key, err := uuid.NewV7()
		if err != nil {
			return outcome{result: ResultTransport}
		}
		req.GetBody = nil
		req.Header.Set(api.HeaderNonIdempotent, "true")
		req.Header.Set(api.HeaderKey, key.String())
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{result: ResultTransport}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return outcome{result: ResultTransport}
	}
	return classify(resp.StatusCode, data, nonce)
}

// classify checks an answer against its request.
func classify(status int, data []byte, nonce string) outcome {
	if status != http.StatusOK {
		var body api.ErrorBody
		if json.Unmarshal(data, &body) != nil || body.Kind == "" {
			return outcome{result: ResultBroken}
		}
		return outcome{result: string(body.Kind), coverage: body.Coverage}
	}
	var answer api.Answer
	err := json.Unmarshal(data, &answer)
	if err == nil && (answer.End == "" || answer.End != answer.RequestID) {
		err = eris.New("end mark missing")
	}
	if err == nil && answer.Nonce != nonce {
		err = errors.New("answer of another request")
	}
	if err != nil {
		return outcome{result: ResultBroken}
	}
	return outcome{result: ResultOK, coverage: &answer.Coverage, version: answer.Snapshot.String()}
}
