package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"time"
)

// codec implements rpc.ClientCodec and rpc.ServerCodec. It encodes the header and the body of a message with gob into
// one frame of bounded size.
type codec struct {
	conn     net.Conn
	frames   *frameReader
	dec      *gob.Decoder
	buf      bytes.Buffer
	enc      *gob.Encoder
	maxWrite int // largest frame to write, in bytes without the frame header
	hooks    codecHooks
}

// codecHooks are functions that the codec calls as it reads and writes messages; each may be nil.
type codecHooks struct {
	onReadError func(err error) // a read failed and the connection was closed
	// onWriteError is called before the connection is closed because a write failed.
	onWriteError func()
	onRequest    func(method string)      // the header of a request was read
	onResponse   func(method string)      // the response to a request was written, or its write failed
	onSent       func(kind string, n int) // a message of n bytes was written
	onReceived   func(kind string, n int) // a message of n bytes was read
	// readTimeout is how long the connection may stay without a message; 0 means no limit.
	readTimeout time.Duration
}

// newCodec returns a codec that reads frames of up to maxRead bytes and writes up to maxWrite, without frame headers.
func newCodec(conn net.Conn, r *bufio.Reader, maxRead, maxWrite int, hooks codecHooks) *codec {
	c := &codec{conn: conn, frames: &frameReader{r: r, max: maxRead}, maxWrite: maxWrite, hooks: hooks}
	c.dec = gob.NewDecoder(c.frames)
	c.enc = gob.NewEncoder(&c.buf)
	return c
}

// WriteRequest implements rpc.ClientCodec. A body that implements perishable may be given up here: net/rpc writes one request
// at a time, so that it may have waited long behind a peer that reads slowly. A body that implements sentMarker is marked
// before any byte of it can leave the node.
func (c *codec) WriteRequest(header *rpc.Request, body any) error {
	if p, ok := body.(perishable); ok {
		if err := p.beforeWrite(time.Now()); err != nil {
			return err
		}
	}
	if marker, ok := body.(sentMarker); ok {
		marker.markMaybeSent()
	}
	return c.write(header, body, kindOf(body))
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(header *rpc.Response, body any) error {
	if c.hooks.onResponse != nil {
		defer c.hooks.onResponse(header.ServiceMethod)
	}
	return c.write(header, body, kindOfResponse(body))
}

// perishable is a request that loses its use while it waits to be written.
type perishable interface {
	// beforeWrite accounts for the wait. It returns an error, which wraps context.Canceled, for a request that is not to be
	// written any more.
	beforeWrite(now time.Time) error
}

// sentMarker is a request that records whether any byte of it may have left the node.
type sentMarker interface{ markMaybeSent() }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(header *rpc.Response) error { return c.readHeader(header) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(header *rpc.Request) error {
	if err := c.readHeader(header); err != nil {
		return err
	}
	if c.hooks.onRequest != nil {
		c.hooks.onRequest(header.ServiceMethod)
	}
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.readBody(body, kindOfResponse) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.readBody(body, kindOf) }

// Close implements rpc.ClientCodec and rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }

// write sends header and body as one frame. When encoding or writing fails it closes the connection, because the lost
// frame may have held type information that gob does not send again.
func (c *codec) write(header, body any, kind string) error {
	c.buf.Reset()
	c.buf.Write(make([]byte, frameHeaderBytes))
	if err := c.encode(header, body); err != nil {
		c.conn.Close()
		return err
	}
	frame := c.buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes))
	if err := writeFrame(c.conn, frame); err != nil {
		if c.hooks.onWriteError != nil {
			c.hooks.onWriteError()
		}
		c.conn.Close()
		return err
	}
	if c.hooks.onSent != nil {
		reportFrame(c.hooks.onSent, kind, len(frame), countTypeBytes(frame[frameHeaderBytes:]))
	}
	return nil
}

// encode appends header and body to the write buffer. The error wraps ErrFrameTooLarge when they exceed maxWrite.
func (c *codec) encode(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	if size := c.buf.Len() - frameHeaderBytes; size > c.maxWrite {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, size, c.maxWrite)
	}
	return nil
}

func (c *codec) readHeader(header any) error {
	if c.hooks.readTimeout > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.hooks.readTimeout)); err != nil {
			return c.closeOnError(err)
		}
	}
	if err := c.frames.next(); err != nil {
		return c.closeOnError(err)
	}
	return c.closeOnError(c.dec.Decode(header))
}

// closeOnError closes the connection after a failed read, because no further message can be read from it. It returns
// err, and does nothing when err is nil.
func (c *codec) closeOnError(err error) error {
	if err == nil {
		return nil
	}
	c.conn.Close()
	if c.hooks.onReadError != nil {
		c.hooks.onReadError(err)
	}
	return err
}

// readBody decodes the body in the current frame. net/rpc passes a nil body to skip one; it is still decoded, because
// gob sends type information inside messages.
func (c *codec) readBody(body any, kind func(body any) string) error {
	err := c.dec.Decode(body)
	if err == nil && c.frames.remaining != 0 {
		err = errFrameBoundary
	}
	if err != nil {
		return c.closeOnError(err)
	}
	reportFrame(c.hooks.onReceived, kind(body), frameHeaderBytes+c.frames.size, c.frames.typeBytes)
	return nil
}
