package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"math"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// fullScaleHeartbeat returns a heartbeat for the target size of 7 zones: it reports the 6 other ones.
func fullScaleHeartbeat() reducer.Heartbeat {
	h := reducer.Heartbeat{
		Version: tables.VersionID{Number: 2200, Hash: tables.ContentHash("routes", "pools")}, TableDigest: 0xfedcba9876543210,
	}
	for zone := range 6 {
		h.Zones = append(h.Zones, reducer.ZoneHeard{Zone: reducer.ZoneTag(0xabcdef - zone), Age: time.Duration(zone) * 160 * time.Millisecond})
	}
	return h
}

// fullScaleMembers returns an update with n members whose fields have a typical length.
func fullScaleMembers(n int) reducer.MemberUpdate {
	update := reducer.MemberUpdate{Repair: true}
	for i := range n {
		update.Members = append(update.Members, reducer.Member{
			Node: reducer.NodeID(fmt.Sprintf("larvik-%03d", i)), Zone: "Larvik", Address: "10.0.0.1:7000", Operator: "10.0.0.1:7001",
			Incarnation: 1 << 60, Sequence: 2, State: reducer.MemberAlive, Age: time.Second,
			Upstream: reducer.Upstream{Service: "stitchroom", Slots: 6, State: reducer.UpstreamReady},
		})
	}
	return update
}

// Guards against a control message that loses a field on the wire.
func TestControlMessagesKeepTheirFields(t *testing.T) {
	for _, want := range []reducer.Message{
		fullScaleHeartbeat(), fullScaleMembers(2), reducer.MemberDigest{Buckets: []uint64{1, 2, 3}, Reply: true},
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
			t.Errorf("message is %+v, expected %+v", got, want)
		}
	}
}

// Guards against one odd entry in a peer's update that hides all others, that cannot be dialled, or that its node can never
// refute.
func TestOddMemberHidesNoOther(t *testing.T) {
	for name, spoil := range map[string]func(*reducer.Member){
		"port too large":       func(m *reducer.Member) { m.Address = "10.0.0.1:65536" },
		"address is a name":    func(m *reducer.Member) { m.Address = "larvik:7000" },
		"multicast":            func(m *reducer.Member) { m.Address = "224.0.0.1:7000" },
		"no node":              func(m *reducer.Member) { m.Node = "" },
		"long node":            func(m *reducer.Member) { m.Node = reducer.NodeID(strings.Repeat("n", 1000)) },
		"unknown state":        func(m *reducer.Member) { m.State = 200 },
		"no state":             func(m *reducer.Member) { m.State = 0 },
		"unknown upstream":     func(m *reducer.Member) { m.Upstream.State = 99 },
		"negative slots":       func(m *reducer.Member) { m.Upstream.Slots = -1 },
		"ready without a slot": func(m *reducer.Member) { m.Upstream.Slots = 0 },
		"slots too large":      func(m *reducer.Member) { m.Upstream.Slots = math.MaxInt },
		"sequence at its end":  func(m *reducer.Member) { m.Sequence = math.MaxUint64 },
		"age of the future":    func(m *reducer.Member) { m.Age = -time.Hour },
	} {
		update := fullScaleMembers(3)
		spoil(&update.Members[1])
		message, err := wireControl(update).toMessage()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		got := message.(reducer.MemberUpdate).Members
		if len(got) != 2 || got[0].Node != "larvik-000" || got[1].Node != "larvik-002" {
			t.Errorf("%s: members %+v, expected the two others", name, got)
		}
	}
}

// Guards against control traffic of an idle node over 16 KB/s, and against a member table over the frame bound, at the
// target size (docs/design.md, section 1.3).
func TestControlBytesAtTargetSize(t *testing.T) {
	const (
		rate    = 2 * (9 + 9) // heartbeats sent and received per second, on 9 links in each direction
		headers = 52          // bytes of IPv4, TCP and its timestamps per segment
		bound   = 16 << 10
	)
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	size := func(header, body any) int {
		wire.Reset()
		if err := errors.Join(encoder.Encode(header), encoder.Encode(body)); err != nil {
			t.Fatal(err)
		}
		return wire.Len() + frameHeaderBytes
	}
	request := func(m reducer.Message) int {
		return size(&rpc.Request{ServiceMethod: "Peer.Notify", Seq: 1000}, wireControl(m))
	}
	response := func() int { return size(&rpc.Response{ServiceMethod: "Peer.Notify", Seq: 1000}, &Empty{}) }
	request(fullScaleHeartbeat()) // the first message carries type information
	response()
	heartbeat, reply, table := request(fullScaleHeartbeat()), response(), request(fullScaleMembers(960))
	idle := rate * (heartbeat + reply + 3*headers) // the third segment is the acknowledgement of the reply
	t.Logf("heartbeat %d B, its reply %d B, table of 960 %d B, digest %d B; idle node: %d heartbeats/s and %d B/s, sent and received",
		heartbeat, reply, table, request(reducer.MemberDigest{Buckets: slices.Repeat([]uint64{1 << 60}, 32)}), rate, idle)
	if idle > bound {
		t.Errorf("control traffic of an idle node is %d B/s, expected at most %d", idle, bound)
	}
	if table > ClassControl.maxRequestBytes() {
		t.Errorf("table of 960 members has %d B, expected at most %d", table, ClassControl.maxRequestBytes())
	}
}
