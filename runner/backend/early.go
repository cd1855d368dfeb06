package backend

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// bodyWriteGrace is how long a response waits for the end of the write of its request's body. The goroutine that wrote the
// body may report it after the response has been read.
const bodyWriteGrace = 20 * time.Millisecond

// errBodyNotSent is returned for a response that claims success although the body of its request was not sent as a whole.
var errBodyNotSent = errors.New("the backend server answered before the body of the request was sent")

// errResponseReset is returned for a response without a length whose connection was reset while the body of its request was sent.
var errResponseReset = errors.New("the connection of a response without a length was reset")

// endOfBody ends the write of a request's body once its response, or an error, is there. A backend server may refuse a request
// before it has read it. Any other response that comes before the whole body was sent is not one to the request of the caller.
func (c *backendConn) endOfBody(in received, err error, bodyWritten <-chan error) (received, error) {
	if err == nil {
		grace := time.NewTimer(bodyWriteGrace)
		defer grace.Stop()
		select {
		case writeErr := <-bodyWritten:
			return in.withBody(writeErr)
		case <-grace.C:
		}
	}
	c.Close() // so that the rest of the body cannot be read as another request
	writeErr := <-bodyWritten
	if err != nil {
		return received{}, err
	}
	in.reuse = false
	return in.withBody(writeErr)
}

// withBody returns a response whose request's body ended with writeErr: an error unless the response is whole, and the body was
// sent as a whole or the request was refused.
func (in received) withBody(writeErr error) (received, error) {
	switch {
	case writeErr == nil:
		return in, nil
	case in.endsWithConn && !endedInOrder(writeErr):
		return received{}, errResponseReset
	case in.response.Status < http.StatusBadRequest:
		return received{}, errBodyNotSent
	}
	in.reuse = false
	return in, nil
}

// endedInOrder reports whether a connection whose reads ended with io.EOF was closed in order, by the error of a concurrent write.
// Linux tells a reset to the first call on the socket alone. If that is the write, it fails with ECONNRESET, and the reads find
// the end of the connection as if it had been closed. After an orderly close a write fails with EPIPE, or goes on until this
// side closes the connection.
func endedInOrder(writeErr error) bool {
	return errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, net.ErrClosed)
}
