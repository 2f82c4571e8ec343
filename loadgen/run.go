package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chivemill/chivemill/api"
)

const (
	// maxAnswerBytes is the maximum size of the body of an answer.
	maxAnswerBytes = 64 << 20
	// deadlineGrace is the time for which the client waits for an answer after the deadline.
	deadlineGrace = 2 * time.Second
	// defaultTimeout limits the wait for an answer to a request without a deadline.
	defaultTimeout = 65 * time.Second
)

// Results of a request that are not error kinds of package api.
const (
	ResultOK = "ok"
	// ResultInvalidAnswer is an invalid answer: truncated, malformed, inconsistent, or to another request.
	ResultInvalidAnswer = "broken_answer"
	// ResultTransportError is a request that failed, timed out or was cancelled before the answer arrived in full.
	ResultTransportError = "transport_error"
)

// Sample is the outcome of one request.
type Sample struct {
	Target string
	// Sent is the planned arrival time, from which Latency is measured.
	Sent    time.Time
	Latency time.Duration
	// Result is ok, broken_answer, transport_error or an error kind.
	Result string
	// RequestID is the ID that the daemon assigned to the request, empty if no answer arrived.
	RequestID string
	// Key is the idempotency key of a non-idempotent request.
	Key string
	// Execution says whether a failed request was executed. It is empty if no answer arrived.
	Execution api.Run
	Message   string

	Coverage *api.Coverage
	Snapshot string
	// Records is the number of records in the answer.
	Records int
}

// Run sends the requests of the plan and returns the result after the last answer. When ctx is cancelled, it stops sending
// and cancels the requests in flight, which are counted as transport_error.
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
		if !sleepUntil(ctx, plan.Stop, start.Add(at)) {
			break
		}
		planned := start.Add(at)
		wg.Go(func() {
			sample := send(ctx, client, plan, i)
			sample.Sent, sample.Latency = planned, time.Since(planned)
			recorder.add(sample)
			if plan.OnSample != nil {
				plan.OnSample(sample)
			}
		})
	}
	wg.Wait()
	return recorder.result(plan, time.Since(start))
}

// sleepUntil sleeps until the time and reports whether it was reached before ctx was cancelled or stop was closed.
func sleepUntil(ctx context.Context, stop <-chan struct{}, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-stop:
	}
	select {
	case <-stop:
		return false
	default:
		return ctx.Err() == nil
	}
}

func send(ctx context.Context, client *http.Client, plan Plan, i int) Sample {
	timeout := defaultTimeout
	if plan.Deadline > 0 {
		timeout = plan.Deadline + deadlineGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nonce := uuid.NewString()
	failed := Sample{Result: ResultTransportError, Target: plan.target(i)}
	req, err := newRequest(ctx, plan, i, failed.Target, nonce)
	if err != nil {
		failed.Message = err.Error()
		return failed
	}
	failed.Key = req.Header.Get(api.HeaderIdempotencyKey)
	status, data, err := roundTrip(client, req)
	if err != nil {
		failed.Message = err.Error()
		return failed
	}
	sample := classify(status, data, nonce)
	sample.Target, sample.Key = failed.Target, failed.Key
	return sample
}

func newRequest(ctx context.Context, plan Plan, i int, target, nonce string) (*http.Request, error) {
	body, err := json.Marshal(api.Query{
		Service: plan.Service, Query: plan.Queries[i%len(plan.Queries)],
		DeadlineMS: plan.Deadline.Milliseconds(), Nonce: nonce,
	})
	if err != nil {
		return nil, err
	}
	url := strings.TrimRight(target, "/") + api.QueryPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil || !plan.NonIdempotent {
		return req, err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set(api.HeaderNonIdempotent, "true")
	req.Header.Set(api.HeaderIdempotencyKey, key.String())
	return req, nil
}

// roundTrip sends the request and reads the complete answer.
func roundTrip(client *http.Client, req *http.Request) (int, []byte, error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, data, err
}

// classify returns the outcome of a request from its answer, which it checks against the nonce of the request.
func classify(status int, data []byte, nonce string) Sample {
	if status != http.StatusOK {
		var body api.ErrorBody
		if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
			return Sample{Result: ResultInvalidAnswer, Message: "error body without a kind"}
		}
		return Sample{
			Result: string(body.Kind), RequestID: body.RequestID, Execution: body.Run, Message: body.Message,
			Coverage: body.Coverage,
		}
	}
	answer, err := api.DecodeAnswer(data)
	if err == nil {
		err = answer.Validate(nonce)
	}
	if err != nil {
		return Sample{Result: ResultInvalidAnswer, RequestID: answer.RequestID, Message: err.Error()}
	}
	return Sample{
		Result: ResultOK, RequestID: answer.RequestID, Coverage: &answer.Coverage, Snapshot: answer.Snapshot.String(),
		Records: len(answer.Records),
	}
}
