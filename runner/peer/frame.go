package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// ErrFrameTooLarge is returned for a frame that is larger than its connection allows.
var ErrFrameTooLarge = errors.New("frame is larger than the bound of its connection")

// errFrameBoundary is returned when a message ends before or beyond the end of its frame.
var errFrameBoundary = errors.New("message does not end with its frame")

// frameHeaderBytes is the size of a frame's header, which holds the length of the content.
const frameHeaderBytes = 4

// frameReader gives a gob decoder the content of one frame at a time. It checks the length of each frame, and of each
// gob message in it, before any of the content is read: gob itself accepts messages of up to a gigabyte, and allocates
// 10 MB at once for a long one.
type frameReader struct {
	r                *bufio.Reader
	remaining        int // unread bytes of the current frame
	messageRemaining int // unread bytes of the current gob message, including its length; 0 while its length is not known
	max              int // largest allowed frame in bytes, without its header
	size             int // bytes of the current frame, without its header
	typeBytes        int // bytes of the current frame that are type descriptions
}

// next reads the header of the next frame. The current frame must have been read to its end.
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

// peekMessage reads the length of the next gob message without consuming it, and checks that the message fits into the
// frame. The length is one byte up to 127, and otherwise the negated number of bytes of a big-endian number that
// follows.
func (f *frameReader) peekMessage() error {
	prefix, err := f.r.Peek(min(f.remaining, maxMessagePrefixBytes))
	if err != nil {
		return err
	}
	width, length := parseGobUint(prefix)
	if width > len(prefix) || length > uint64(f.remaining-width) {
		return errFrameBoundary
	}
	f.messageRemaining = width + int(length)
	if _, id := parseGobUint(prefix[width:]); id&1 != 0 {
		f.typeBytes += f.messageRemaining
	}
	return nil
}

// maxMessagePrefixBytes is enough for the length and the type ID at the start of a gob message.
const maxMessagePrefixBytes = 16

// maxOneByteUint is the largest unsigned integer that gob encodes in one byte.
const maxOneByteUint = 0x7f

// readable returns how many of n bytes may be read before the end of the current gob message.
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

// Read implements io.Reader within the current frame.
func (f *frameReader) Read(p []byte) (int, error) {
	n, err := f.readable(len(p))
	if err != nil {
		return 0, err
	}
	n, err = f.r.Read(p[:n])
	f.consume(n)
	return n, err
}

// ReadByte implements io.ByteReader. Without it, gob would wrap the reader in a buffer that reads beyond the frame.
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

// skip discards the rest of the current frame.
func (f *frameReader) skip() error {
	n, err := f.r.Discard(f.remaining)
	f.remaining -= n
	return err
}
