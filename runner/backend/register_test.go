package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// acknowledger records events and acknowledges registrations and deregistrations.
type acknowledger struct {
	mailboxes *traffic.Mailboxes
	events    []reducer.Input
}

func (a *acknowledger) Post(input reducer.Input) bool {
	a.events = append(a.events, input)
	switch in := input.(type) {
	case reducer.BackendRegistered:
		a.mailboxes.Deliver(reducer.AcknowledgeBackend{Exchange: in.Exchange})
	case reducer.BackendDeregistered:
		a.mailboxes.Deliver(reducer.AcknowledgeBackend{Exchange: in.Exchange})
	}
	return true
}

// Guards against an invalid registration that sets the upstream: missing fields, fields of the wrong type, an unknown
// state or service, a body that is not JSON.
func TestInvalidRegistrationsAreRefused(t *testing.T) {
	const good = `{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"sequence":4,"born":17}`
	a := &acknowledger{mailboxes: traffic.NewMailboxes()}
	handler := RegisterHandler(a, a.mailboxes, Expected{Service: "s", Address: "127.0.0.1:9", Ordered: true})
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code
	}
	for _, replace := range [][2]string{
		{`"service":"s"`, `"service":"other"`}, {`"service":"s",`, ``}, {`"address":"127.0.0.1:9"`, `"address":"127.0.0.2:9"`},
		{`"address":"127.0.0.1:9"`, `"address":9`}, {`"slots":6`, `"slots":"6"`}, {`"slots":6`, `"slots":0`}, {`"slots":6`, `"slots":6.5`},
		{`"state":"ready"`, `"state":"asleep"`}, {`"state":"ready"`, `"state":null`}, {`"sequence":4`, `"sequence":-4`}, {`"sequence":4,`, ``}, {`"sequence":4`, `"sequence":null`},
		{`"born":17`, `"born":"17"`}, {`"born":17`, `"born":-17`}, {good, `{`}, {good, ``}, {good, `[]`}, {good, "\x00\xff"},
	} {
		if code := post(RegisterPath+"a", strings.Replace(good, replace[0], replace[1], 1)); code != http.StatusBadRequest {
			t.Errorf("%s for %s: status %d, expected 400", replace[1], replace[0], code)
		}
	}
	if len(a.events) != 0 {
		t.Errorf("invalid registrations were posted as events: %+v", a.events)
	}
	if code := post(RegisterPath+"a", good); code != http.StatusOK || len(a.events) != 1 {
		t.Fatalf("valid registration: status %d, events %+v, expected status 200 and one event", code, a.events)
	}
	registered := a.events[0].(reducer.BackendRegistered)
	if registered.Instance != "a" || registered.Born != 17 || registered.Sequence != 4 || registered.Slots != 6 || registered.Draining {
		t.Errorf("unexpected event %+v", registered)
	}
	for _, body := range []string{"", `{"born":17}`} {
		if code := post(DeregisterPath+"a", body); code != http.StatusOK {
			t.Errorf("deregistration with body %q: status %d, expected 200", body, code)
		}
	}
	if deregistered := a.events[2].(reducer.BackendDeregistered); deregistered.Instance != "a" || deregistered.Born != 17 {
		t.Errorf("unexpected event %+v", deregistered)
	}
}

// refuser refuses deregistrations.
type refuser struct{ mailboxes *traffic.Mailboxes }

func (r refuser) Post(input reducer.Input) bool {
	r.mailboxes.Deliver(reducer.AcknowledgeBackend{Exchange: input.(reducer.BackendDeregistered).Exchange, Refused: true})
	return true
}

// Guards against a deregistration that is confirmed to the backend server although it is kept nowhere (review/10).
func TestRefusedDeregistrationIsNotConfirmed(t *testing.T) {
	mailboxes := traffic.NewMailboxes()
	handler := RegisterHandler(refuser{mailboxes}, mailboxes, Expected{})
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, DeregisterPath+"a", strings.NewReader(`{"born":17}`)))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, expected 503 with a time", w.Code, w.Header().Get("Retry-After"))
	}
}
