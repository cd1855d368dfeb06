package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// acknowledger takes events and acknowledges those that wait for it.
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

// Guards against a registration of another writer that names an upstream: fields that are missing or of another type,
// a state or service that is not known, bytes that are no JSON.
func TestForeignRegistrationsAreRefused(t *testing.T) {
	const good = `{"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"sequence":4,"born":17}`
	a := &acknowledger{mailboxes: traffic.NewMailboxes()}
	handler := RegisterHandler(a, a.mailboxes, Expected{Service: "s", Address: "127.0.0.1:9"})
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code
	}
	for _, replace := range [][2]string{
		{`"service":"s"`, `"service":"other"`}, {`"service":"s",`, ``}, {`"address":"127.0.0.1:9"`, `"address":"127.0.0.2:9"`},
		{`"address":"127.0.0.1:9"`, `"address":9`}, {`"slots":6`, `"slots":"6"`}, {`"slots":6`, `"slots":0`}, {`"slots":6`, `"slots":6.5`},
		{`"state":"ready"`, `"state":"asleep"`}, {`"state":"ready"`, `"state":null`}, {`"sequence":4`, `"sequence":-4`},
		{`"born":17`, `"born":"17"`}, {`"born":17`, `"born":-17`}, {good, `{`}, {good, ``}, {good, `[]`}, {good, "\x00\xff"},
	} {
		if code := post(RegisterPath+"a", strings.Replace(good, replace[0], replace[1], 1)); code != http.StatusBadRequest {
			t.Errorf("%s for %s: status %d, expected 400", replace[1], replace[0], code)
		}
	}
	if len(a.events) != 0 {
		t.Errorf("foreign registrations became events: %+v", a.events)
	}
	if code := post(RegisterPath+"a", good); code != http.StatusOK || len(a.events) != 1 {
		t.Fatalf("a good registration: status %d, events %+v", code, a.events)
	}
	registered := a.events[0].(reducer.BackendRegistered)
	if registered.Instance != "a" || registered.Born != 17 || registered.Sequence != 4 || registered.Slots != 6 || registered.Draining {
		t.Errorf("event %+v", registered)
	}
	for _, body := range []string{"", `{"born":17}`} {
		if code := post(DeregisterPath+"a", body); code != http.StatusOK {
			t.Errorf("leave with body %q: status %d", body, code)
		}
	}
	if left := a.events[2].(reducer.BackendDeregistered); left.Instance != "a" || left.Born != 17 {
		t.Errorf("leave %+v", left)
	}
}
