package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"net/rpc"
)

// typeStream is the output of a gob encoder for one value of each type on control connections. It consists mostly of
// type descriptions, which are longer than all messages that a short-lived connection carries. When both sides have the
// same stream they do not send it, and put their encoders and decoders into the state that follows it.
var typeStream = encodeTypeStream()

// controlTypeValues returns a value of each type that control messages and their responses consist of.
func controlTypeValues() []any {
	return []any{&rpc.Request{}, &rpc.Response{}, &ControlArgs{}, &Empty{}, &NotifyReply{}}
}

func encodeTypeStream() []byte {
	var stream bytes.Buffer
	enc := gob.NewEncoder(&stream)
	for _, value := range controlTypeValues() {
		if err := enc.Encode(value); err != nil {
			panic(err) // cannot fail: gob can encode these types
		}
	}
	return stream.Bytes()
}

// skipTypeStream puts the encoder and the decoder into the state that follows the type stream, without sending or
// receiving it. It must be called before the first message.
func (c *codec) skipTypeStream() {
	connReader := c.frames.r
	c.frames.r = bufio.NewReader(bytes.NewReader(typeStream))
	c.frames.remaining = len(typeStream)
	for _, value := range controlTypeValues() {
		if err := c.enc.Encode(value); err != nil {
			panic(err) // cannot fail: encodeTypeStream encoded the same types
		}
		if err := c.dec.Decode(value); err != nil {
			panic(err) // cannot fail: this program wrote the stream
		}
	}
	c.frames.r, c.frames.typeBytes = connReader, 0
}
