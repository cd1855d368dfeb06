package peer

// Kinds of messages on control connections, as reported to Observer. kindOf returns the kinds of control messages.
const (
	kindHello    = "hello"
	kindTypes    = "types" // gob's type descriptions, sent once per connection and direction
	kindResponse = "response"
	kindOther    = "other" // Settle, Cancel, Ping
	// kindQuotaGrant is a grant in a message of its own or in a reply.
	kindQuotaGrant = "quota_grant"
)

// kindOf returns the kind of a request with the given body.
func kindOf(body any) string {
	control, ok := body.(*ControlArgs)
	if !ok {
		return kindOther
	}
	switch {
	case control.Heartbeat != nil:
		return "heartbeat"
	case control.MemberUpdate != nil && control.MemberUpdate.Repair:
		return "member_repair"
	case control.MemberUpdate != nil:
		return "member_update"
	case control.MemberDigest != nil:
		return "member_digest"
	case control.ConfigUpdate != nil:
		return "config_update"
	case control.ConfigFetch != nil:
		return "config_fetch"
	case control.QuotaRequest != nil:
		return "quota_request"
	case control.QuotaGrant != nil:
		return kindQuotaGrant
	case control.RolloutUpdates != nil:
		return "rollout_updates"
	case control.RolloutReport != nil:
		return "rollout_report"
	case control.RolloutFetch != nil:
		return "rollout_fetch"
	case control.ReadForPeer != nil:
		return "read_for_peer"
	case control.ReadsForPeer != nil:
		return "reads_for_peer"
	case control.HoldDeregistrations != nil:
		return "hold_deregistrations"
	case control.DeregistrationsHeld != nil:
		return "deregistrations_held"
	default:
		return kindOther
	}
}

// kindOfResponse returns the kind of a response with the given body.
func kindOfResponse(body any) string {
	if reply, ok := body.(*NotifyReply); ok && reply.QuotaGrant != nil {
		return kindQuotaGrant
	}
	return kindResponse
}

// reportFrame counts the bytes of a frame, those of type descriptions separately as kindTypes.
func reportFrame(count func(kind string, n int), kind string, size, types int) {
	if count == nil {
		return
	}
	if types > 0 {
		count(kindTypes, types)
	}
	count(kind, size-types)
}

// reportHellos reports to an observer the sizes of the hellos of a connection that this node opened. Hellos of accepted
// connections are not counted, because the class is known only after the hello.
func reportHellos(observer Observer, class Class, in, out int) {
	if class == ClassControl {
		observer.MessageIn(kindHello, in)
		observer.MessageOut(kindHello, out)
	}
}

// parseGobMessage returns the size of the gob message at the start of a buffer and whether it describes a type. A
// message starts with its length and a type ID, whose lowest bit is set when the message describes a type. gob encodes
// an unsigned integer up to 127 as one byte, and a larger one as the negated number of its bytes and then these bytes
// in big-endian order.
func parseGobMessage(b []byte) (size int, describesType bool) {
	width, length := parseGobUint(b)
	_, id := parseGobUint(b[min(width, len(b)):])
	return width + int(length), id&1 != 0
}

// parseGobUint returns the width in bytes and the value of the unsigned integer at the start of a buffer. Bytes beyond
// the end of the buffer are ignored.
func parseGobUint(b []byte) (width int, value uint64) {
	if len(b) == 0 {
		return 1, 0
	}
	if b[0] <= maxOneByteUint {
		return 1, uint64(b[0])
	}
	width = 1 - int(int8(b[0]))
	for _, digit := range b[1:min(width, len(b))] {
		value = value<<8 | uint64(digit)
	}
	return width, value
}

// countTypeBytes returns how many bytes of a frame's content are type descriptions.
func countTypeBytes(content []byte) (types int) {
	for len(content) > 0 {
		size, describesType := parseGobMessage(content)
		if size = min(size, len(content)); describesType {
			types += size
		}
		content = content[size:]
	}
	return types
}
