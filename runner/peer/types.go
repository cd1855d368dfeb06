package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"net/rpc"
)

// typeStream is what a gob encoder writes for one value of each type of control connections: mostly descriptions of
// these types, which are longer than the messages that a short-lived connection carries. Two programs with the
// same stream leave it out and start their encoders and decoders behind it.
var typeStream = encodeTypeStream()

// controlTypeValues returns a value of each type that control messages and their responses consist of.
func controlTypeValues() []any {
	return []any{&rpc.Request{}, &rpc.Response{}, &ControlArgs{}, &Empty{}}
}

func encodeTypeStream() []byte {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for _, value := range controlTypeValues() {
		if err := enc.Encode(value); err != nil {
			panic(err) // the types can be encoded
		}
	}
	return stream.Bytes()
}

// skipTypeStream starts encoder and decoder behind the type stream. It must be called before the first message.
func (c *codec) skipTypeStream() {
	wire := c.frames.r
	c.frames.r = bufio.NewReader(bytes.NewReader(typeStream))
	c.frames.remaining = len(typeStream)
	for _, value := range controlTypeValues() {
		if err := c.enc.Encode(value); err != nil {
			panic(err) // it was encoded before
		}
		if err := c.dec.Decode(value); err != nil {
			panic(err) // the stream is this program's own
		}
	}
	c.frames.r, c.frames.typeBytes = wire, 0
}
