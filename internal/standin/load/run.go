package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

const (
	// responseGrace is how long after the call's timeout a response may arrive before the call counts as
	// lost.
	responseGrace    = 5 * time.Second
	maxResponseBytes = 16 << 20
	bodyAlphabet     = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// Run sends the calls, waits for their ends and returns the report. When the context ends, no further
// calls are sent.
func Run(ctx context.Context, options Options) Report {
	if options.InFlight <= 0 {
		options.InFlight = defaultInFlight
	}
	if options.Prefix == "" {
		options.Prefix = "load" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	g := &generator{
		options: options,
		started: time.Now(),
		results: make(chan Call, options.InFlight),
		transport: &http.Transport{
			MaxIdleConnsPerHost: options.InFlight, DisableKeepAlives: options.NoKeepAlive, DisableCompression: true,
		},
	}
	defer g.transport.CloseIdleConnections()
	s := newSchedule(options)
	g.run(ctx, s)
	return newReport(options, s, g.started, time.Since(g.started))
}

// generator performs the I/O of a run.
type generator struct {
	options   Options
	started   time.Time
	results   chan Call
	transport *http.Transport
}

// run owns the schedule. It starts calls as they become due and records their results until the schedule is
// finished.
func (g *generator) run(ctx context.Context, s *schedule) {
	interrupt := ctx.Done()
	for !s.isFinished() {
		var timer <-chan time.Time
		if _, at, more := s.nextDue(); more {
			timer = time.After(time.Until(g.started.Add(at)))
		}
		var in input
		select {
		case <-timer:
			in = callDue{}
		case call := <-g.results:
			in = answered{call}
		case <-interrupt:
			interrupt = nil
			in = interrupted{}
		}
		for _, effect := range s.reduce(in) {
			go func() { g.results <- g.perform(effect) }()
		}
	}
}

// perform makes one call and returns its record. If a target refuses the connection, it has not received the
// call, so the next target is tried. Nothing else is retried.
func (g *generator) perform(effect send) Call {
	spec := g.options.Specs[effect.spec]
	body := makeBody(effect.seed, spec.BodyBytes)
	call := Call{ID: effect.id, Route: spec.Name, Idempotent: spec.Idempotent, Due: g.started.Add(effect.due)}
	ctx, cancel := context.WithTimeout(context.Background(), spec.Timeout+responseGrace)
	defer cancel()
	for attempt := range g.options.Targets {
		target := g.options.Targets[(effect.target+attempt)%len(g.options.Targets)]
		call.Target = target
		response, err := g.transport.RoundTrip(newRequest(ctx, spec, target, effect.id, body))
		if errors.Is(err, syscall.ECONNREFUSED) {
			call.Refused++
			call.Outcome, call.Problem = OutcomeRefused, err.Error()
			continue
		}
		call.Outcome, call.Problem = OutcomeLost, ""
		if err != nil {
			call.Problem = err.Error()
		} else {
			classifyResponse(&call, spec, body, response)
		}
		break
	}
	call.Took = time.Since(g.started) - effect.due
	return call
}

// makeBody returns a pseudo-random body of size bytes that depends only on the seed.
func makeBody(seed uint64, size int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	for range size {
		b.WriteByte(bodyAlphabet[random.IntN(len(bodyAlphabet))])
	}
	return b.String()
}

// newRequest returns a request whose body has no GetBody, so that http.Transport never retries it. It
// panics if the spec gives an invalid method or URL.
func newRequest(ctx context.Context, spec Spec, target, id, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, spec.Method, "http://"+target+spec.Path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(fmt.Sprintf("load: call %q cannot be built: %v", spec.Name, err))
	}
	request.ContentLength = int64(len(body))
	if spec.Host != "" {
		request.Host = spec.Host
	}
	request.Header.Set(backend.HeaderRequestID, id)
	request.Header.Set(protocol.HeaderTimeout, strconv.FormatInt(spec.Timeout.Milliseconds(), 10)+"m")
	if !spec.Idempotent && !spec.OmitIdempotencyKey {
		request.Header.Set("Idempotency-Key", id)
	}
	if !spec.Idempotent && !spec.OmitAttemptCount {
		request.Header.Set("X-Envoy-Attempt-Count", "1")
	}
	return request
}

// classifyResponse sets status, outcome and problem of a call from its response and closes the response. The
// outcome stays as it is if the body cannot be read to its end.
func classifyResponse(call *Call, spec Spec, body string, response *http.Response) {
	defer response.Body.Close()
	got, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	call.Status = response.StatusCode
	if err != nil {
		call.Problem = "answer ended early: " + err.Error()
		return
	}
	call.Outcome = response.Header.Get(protocol.HeaderOutcome)
	switch call.Outcome {
	case OutcomeDone:
		if problem := describeMismatch(call.ID, spec, body, response, string(got)); problem != "" {
			call.Outcome, call.Problem = OutcomeCrossed, problem
		}
	case OutcomeNotRun, OutcomeUnknown:
		call.Problem = strings.TrimSpace(string(got))
	default:
		call.Problem = fmt.Sprintf("answer has outcome %q and status %d", call.Outcome, call.Status)
		call.Outcome = OutcomeInvalid
	}
}

// describeMismatch returns how a response differs from the expected echo of the request, or an empty
// string if it matches. Only a response with status 200 echoes the length, the checksum and the body.
func describeMismatch(id string, spec Spec, body string, response *http.Response, got string) string {
	if response.StatusCode != http.StatusOK {
		if echoed := response.Header.Get(backend.HeaderRequestID); echoed != "" && echoed != id {
			return fmt.Sprintf("answer is for request %q", echoed)
		}
		return ""
	}
	if echoed := response.Header.Get(backend.HeaderRequestID); echoed != id {
		return fmt.Sprintf("answer is for request %q", echoed)
	}
	if length := response.Header.Get(backend.HeaderLength); length != strconv.Itoa(len(body)) {
		return fmt.Sprintf("answer echoes length %q, sent were %d bytes", length, len(body))
	}
	if sum := response.Header.Get(backend.HeaderChecksum); sum != backend.Checksum([]byte(body)) {
		return fmt.Sprintf("answer echoes checksum %q, sent was %s", sum, backend.Checksum([]byte(body)))
	}
	path, _, _ := strings.Cut(spec.Path, "?")
	if want := id + " " + path + " " + body; got != want {
		return fmt.Sprintf("answer has %d bytes, expected %d that repeat the request", len(got), len(want))
	}
	return ""
}
