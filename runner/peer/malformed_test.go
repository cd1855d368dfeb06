package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// givenHandler answers calls, and questions for their outcome, with a given response, and keeps the records that it takes over.
type givenHandler struct {
	echoHandler
	response *traffic.Response
	records  []reducer.KeyRecord
	kept     []*traffic.Response
}

func (h *givenHandler) Forward(func(reducer.Handle) reducer.ForwardArrived, *traffic.Request, <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	return reducer.AnswerForward{Outcome: reducer.OutcomeDone, Status: h.response.Status}, h.response
}

func (h *givenHandler) Settle(func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response) {
	return reducer.AnswerSettle{Outcome: reducer.OutcomeDone, Status: h.response.Status}, h.response
}

func (h *givenHandler) HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool {
	h.records, h.kept = records, responses
	return true
}

// Guards against a response that is not valid HTTP and reaches a caller over another node: one of an earlier version that
// passes on whatever its backend server sent, with the answer to a call, to a question for its outcome, or in a record. The
// outcome is unknown, as the call has run.
func TestMalformedResponsesOfPeers(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		field  string
		valid  bool
	}{
		"valid":                   {http.StatusOK, "X-Odd", true},
		"valid failure":           {http.StatusInternalServerError, "X-Odd", true},
		"status 0":                {0, "X-Odd", false},
		"interim status":          {http.StatusEarlyHints, "X-Odd", false},
		"status 600":              {600, "X-Odd", false},
		"negative status":         {-200, "X-Odd", false},
		"blank in a field name":   {http.StatusOK, "X Odd", false},
		"blank behind one":        {http.StatusOK, "Content-Length ", false},
		"line end in one":         {http.StatusOK, "X\r\nOdd", false},
		"control byte in one":     {http.StatusOK, "X\x01Odd", false},
		"empty field name":        {http.StatusOK, "", false},
		"failure with such names": {http.StatusInternalServerError, "X Odd", false},
	} {
		for _, streaming := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", streaming ", streaming), func(t *testing.T) {
				response := &traffic.Response{Status: c.status, Header: http.Header{c.field: {"v"}}, Body: []byte("body")}
				handler := &givenHandler{response: response}
				var stream *testStream
				if streaming {
					stream = &testStream{err: io.EOF, closed: make(chan struct{})}
					response.Rest, response.Length = stream, -1
				}
				f := startPair(t, identity("client"), identity("target"), handler)
				want := reducer.OutcomeUnknown
				if c.valid {
					want = reducer.OutcomeDone
				}
				done, got := forwardLong(f, time.Minute)
				if done.Result != reducer.ForwardAnswered || done.Outcome != want || (got != nil) != c.valid || (done.Problem == "") != c.valid || !c.valid && done.Status != 0 {
					t.Errorf("the call ended as %+v with response %v", done, got)
				}
				if streaming {
					got.Discard()
					<-stream.closed // the target releases the response
				}
				response.Rest = nil
				settled, got := f.client.Settle(context.Background(), reducer.Settle{To: f.to})
				if !settled.Answered || settled.Outcome != want || (got != nil) != c.valid || (settled.Problem == "") != c.valid {
					t.Errorf("the question ended as %+v with response %v", settled, got)
				}
				record := reducer.KeyRecord{Key: "k", Call: 7, Outcome: reducer.OutcomeDone, Status: c.status}
				handOver := reducer.HandOver{To: f.to, Records: []reducer.KeyRecord{record}}
				if !f.client.HandOver(context.Background(), handOver, func(reducer.Handle) *traffic.Response { return response }) {
					t.Fatal("the record was not taken over")
				}
				if handler.records[0].Outcome != want || (handler.kept[0] != nil) != c.valid || (handler.records[0].Problem == "") != c.valid {
					t.Errorf("the record arrived as %+v with response %v", handler.records[0], handler.kept[0])
				}
			})
		}
	}
}
