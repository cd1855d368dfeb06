package backend

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// streamWindow is the number of parts that a stream reads from the backend server before they are taken. It lets the
// backend server end early when the caller is slower, within bounded memory.
const streamWindow = 4

// errStreamClosed is returned by a stream that was closed.
var errStreamClosed = errors.New("the stream of the response is closed")

// bodyStream implements traffic.BodyStream for a response that is still being received. Its goroutine reads the body;
// the connection and its permit are released when that ends.
type bodyStream struct {
	parts  chan []byte
	err    error // why the body ended; valid when parts is closed
	cancel context.CancelFunc
	ended  chan struct{}
	close  sync.Once
	closed chan struct{}
}

// newBodyStream starts to read a body; ctx is that of the request. release is called once with whether the body was read to
// its end; cancel ends the request, which makes the body's reads fail.
func newBodyStream(ctx context.Context, body io.Reader, cancel context.CancelFunc, release func(complete bool)) *bodyStream {
	s := &bodyStream{parts: make(chan []byte, streamWindow), cancel: cancel, ended: make(chan struct{}), closed: make(chan struct{})}
	go func() {
		defer close(s.ended)
		s.err = s.read(ctx, body)
		release(s.err == io.EOF)
		close(s.parts)
	}()
	return s
}

// read passes the parts of the body on until it ends, and returns the reason, io.EOF after the last byte.
func (s *bodyStream) read(ctx context.Context, body io.Reader) error {
	for {
		part, err := readPart(body)
		if len(part) > 0 {
			select {
			case s.parts <- part:
			case <-s.closed:
				return errStreamClosed
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err != nil {
			return err
		}
	}
}

// readPart reads up to traffic.PartBytes. Unlike io.ReadFull it returns the error of the body unchanged, which is io.EOF
// only if the body is complete.
func readPart(body io.Reader) ([]byte, error) {
	part := make([]byte, 0, traffic.PartBytes)
	for len(part) < cap(part) {
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}

// Next implements traffic.BodyStream.
func (s *bodyStream) Next(ctx context.Context) ([]byte, error) {
	select {
	case part, ok := <-s.parts:
		if !ok {
			return nil, s.err
		}
		return part, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements traffic.BodyStream.
func (s *bodyStream) Close() {
	s.close.Do(func() {
		close(s.closed)
		s.cancel()
	})
}

// Ended implements traffic.BodyStream.
func (s *bodyStream) Ended() <-chan struct{} { return s.ended }
