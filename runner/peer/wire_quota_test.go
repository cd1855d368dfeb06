package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
)

// Guards against fields of the messages about quotas that are lost on the wire.
func TestQuotaMessagesRoundTrip(t *testing.T) {
	for _, want := range []reducer.Message{
		reducer.QuotaRequest{Request: quota.Request{Seq: 7, Asks: []quota.Ask{{Workspace: "w", Needed: 1, Ahead: 2, Demand: 1.5, Held: 3, Returned: 4}}}},
		reducer.QuotaRequest{Query: quota.Query{Round: 2, Parts: []string{"w", "w\x001"}}},
		reducer.QuotaGrant{Answer: quota.Answer{Round: 2, Free: true}},
		reducer.QuotaGrant{Grant: quota.Grant{Seq: 7, Version: 3, Tokens: []quota.Tokens{{
			Workspace: "w", Now: 1, Ahead: 2, ValidFor: 2500 * time.Millisecond, RetryAfter: 20 * time.Millisecond, Quota: 2.5, NotGranting: true,
		}}}},
	} {
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(wireControl(want)); err != nil {
			t.Fatal(err)
		}
		var args ControlArgs
		if err := gob.NewDecoder(&wire).Decode(&args); err != nil {
			t.Fatal(err)
		}
		if got, err := args.toMessage(); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

// Guards against a passed bucket that counts fewer usable tokens after rounding, which would exceed the quota.
func TestQuotaReleaseIsRoundedUp(t *testing.T) {
	sent := reducer.QuotaRequest{Releases: []quota.Release{{Workspace: "w", Level: 2.5, Out: 3.5}}}
	got, _ := wireControl(sent).toMessage()
	if r := got.(reducer.QuotaRequest).Releases[0]; r.Level > 2.5 || r.Out < 3.5 {
		t.Errorf("got %+v", r)
	}
}
