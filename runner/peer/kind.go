package peer

// Kinds of what crosses control connections, as Observer is told.
const (
	kindHello    = "hello"
	kindTypes    = "types" // gob's descriptions of types, sent once for each connection and direction
	kindResponse = "response"
	kindOther    = "other" // Settle, Cancel, Ping
)

// kindOf returns the kind of the body of a request.
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
	default:
		return kindOther
	}
}

// reportFrame tells a counter of the bytes of a frame, those of type descriptions apart.
func reportFrame(count func(kind string, n int), kind string, size, types int) {
	if count == nil {
		return
	}
	if types > 0 {
		count(kindTypes, types)
	}
	count(kind, size-types)
}

// reportHellos tells an observer of the hellos of a connection that this node opened. Those of the other
// connections are not counted, because the class is known only after the hello.
func reportHellos(observer Observer, class Class, in, out int) {
	if class == ClassControl {
		observer.MessageIn(kindHello, in)
		observer.MessageOut(kindHello, out)
	}
}

// parseGobMessage returns the size of the gob message at the start of a buffer and whether it describes a type.
// Gob writes a number up to 127 as one byte, and another one as the negated number of bytes and then these
// bytes, big-endian. A message is its length, then an id, whose lowest bit is set when it describes a type.
func parseGobMessage(b []byte) (size int, describes bool) {
	width, length := parseGobUint(b)
	_, id := parseGobUint(b[min(width, len(b)):])
	return width + int(length), id&1 != 0
}

// parseGobUint returns the width and the value of the number at the start of a buffer. What the buffer lacks
// counts as 0.
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

// countTypeBytes returns how many bytes of a frame's content describe types.
func countTypeBytes(content []byte) (types int) {
	for len(content) > 0 {
		size, describes := parseGobMessage(content)
		if size = min(size, len(content)); describes {
			types += size
		}
		content = content[size:]
	}
	return types
}
