package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// ErrFrameTooLarge reports a frame beyond its connection's bound.
var ErrFrameTooLarge = errors.New("frame is larger than the bound of its connection")

// errFrameBoundary reports a message that does not end with its frame.
var errFrameBoundary = errors.New("message does not end with its frame")

const frameHeaderBytes = 4

// frameReader gives a decoder the content of one frame at a time. Gob itself accepts messages of up to
// a gigabyte; the length before each frame is checked before anything of it is read, and so is the length
// that gob puts before each of its messages, because gob allocates 10 MB for a long one at once.
type frameReader struct {
	r                *bufio.Reader
	remaining        int // of the frame
	messageRemaining int // of gob's present message, with its length
	max              int
	size             int // of the frame
	typeBytes        int // bytes of the frame that describe types
}

// next reads the length of the next frame.
func (f *frameReader) next() error {
	if f.remaining != 0 {
		return errFrameBoundary
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(f.max) {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrFrameTooLarge, size, f.max)
	}
	f.remaining, f.messageRemaining = int(size), 0
	f.size, f.typeBytes = int(size), 0
	return nil
}

// peekMessage reads ahead the length of gob's next message: one byte up to 127, or the negated number of
// bytes that follow with a big-endian number.
func (f *frameReader) peekMessage() error {
	start, err := f.r.Peek(min(f.remaining, maxMessagePrefixBytes))
	if err != nil {
		return err
	}
	width, length := parseGobUint(start)
	if width > len(start) || length > uint64(f.remaining-width) {
		return errFrameBoundary
	}
	f.messageRemaining = width + int(length)
	if _, id := parseGobUint(start[width:]); id&1 != 0 {
		f.typeBytes += f.messageRemaining
	}
	return nil
}

// maxMessagePrefixBytes is enough for the length of a message and its id.
const maxMessagePrefixBytes = 16

// maxOneByteUint is the largest number that gob writes as one byte.
const maxOneByteUint = 0x7f

// readable returns how many of n bytes may be read before the end of gob's present message.
func (f *frameReader) readable(n int) (int, error) {
	if f.remaining == 0 {
		return 0, errFrameBoundary
	}
	if f.messageRemaining == 0 {
		if err := f.peekMessage(); err != nil {
			return 0, err
		}
	}
	return min(n, f.messageRemaining), nil
}

func (f *frameReader) consume(n int) {
	f.remaining -= n
	f.messageRemaining -= n
}

// Read implements io.Reader inside the present frame.
func (f *frameReader) Read(p []byte) (int, error) {
	n, err := f.readable(len(p))
	if err != nil {
		return 0, err
	}
	n, err = f.r.Read(p[:n])
	f.consume(n)
	return n, err
}

// ReadByte implements io.ByteReader, which keeps gob from buffering beyond the frame.
func (f *frameReader) ReadByte() (byte, error) {
	if _, err := f.readable(1); err != nil {
		return 0, err
	}
	b, err := f.r.ReadByte()
	if err == nil {
		f.consume(1)
	}
	return b, err
}

// skip drops what is left of the present frame.
func (f *frameReader) skip() error {
	n, err := f.r.Discard(f.remaining)
	f.remaining -= n
	return err
}
