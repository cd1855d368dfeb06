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
	// answerGrace is how long an answer may come after the call's own timeout before it counts as lost.
	answerGrace      = 5 * time.Second
	maxResponseBytes = 16 << 20
	alphabet         = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// Run sends the calls and returns the report. It ends by itself, and early when the context does.
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
	g.control(ctx, s)
	return newReport(options, s, g.started, time.Since(g.started))
}

// generator does the I/O of a run.
type generator struct {
	options   Options
	started   time.Time
	results   chan Call
	transport *http.Transport
}

// control owns the schedule and waits for the next call to be due or an answer to come.
func (g *generator) control(ctx context.Context, s *schedule) {
	interrupt := ctx.Done()
	for !s.ended() {
		var timer <-chan time.Time
		if _, at, more := s.nextDue(); more {
			timer = time.After(time.Until(g.started.Add(at)))
		}
		var in input
		select {
		case <-timer:
			in = due{}
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

// perform makes one call. A target that refuses the connection has not seen the call, so that the next
// one may be tried; nothing else is repeated.
func (g *generator) perform(effect send) Call {
	spec := g.options.Specs[effect.spec]
	body := makeBody(effect.seed, spec.BodyBytes)
	call := Call{ID: effect.id, Route: spec.Name, Idempotent: spec.Idempotent, Due: g.started.Add(effect.due)}
	ctx, cancel := context.WithTimeout(context.Background(), spec.Timeout+answerGrace)
	defer cancel()
	for try := range g.options.Targets {
		target := g.options.Targets[(effect.target+try)%len(g.options.Targets)]
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
			judge(&call, spec, body, response)
		}
		break
	}
	call.Took = time.Since(g.started) - effect.due
	return call
}

func makeBody(seed uint64, size int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	var b strings.Builder
	for range size {
		b.WriteByte(alphabet[random.IntN(len(alphabet))])
	}
	return b.String()
}

// newRequest builds a request whose body has no GetBody, so that Go's transport never sends it again.
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
	if !spec.Idempotent && !spec.NoKey {
		request.Header.Set("Idempotency-Key", id)
	}
	if !spec.Idempotent && !spec.Repeat {
		request.Header.Set("X-Envoy-Attempt-Count", "1")
	}
	return request
}

// judge sets the outcome of a call by its response.
func judge(call *Call, spec Spec, body string, response *http.Response) {
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
		if problem := mismatch(call.ID, spec, body, response, string(got)); problem != "" {
			call.Outcome, call.Problem = OutcomeCrossed, problem
		}
	case OutcomeNotRun, OutcomeUnknown:
		call.Problem = strings.TrimSpace(string(got))
	default:
		call.Problem = fmt.Sprintf("answer has outcome %q and status %d", call.Outcome, call.Status)
		call.Outcome = OutcomeInvalid
	}
}

// mismatch says how an answer differs from the one that belongs to the request. Only a complete answer
// of the backend server repeats the request.
func mismatch(id string, spec Spec, body string, response *http.Response, got string) string {
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
