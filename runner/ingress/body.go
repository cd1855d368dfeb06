package ingress

import "io"

const (
	// maxFirstBodyBytes is the largest buffer that is allocated before the first byte of a body has arrived. It holds most
	// bodies, and the buffers of callers that declare a length and send nothing stay small.
	maxFirstBodyBytes = 64 << 10
	// minFirstBodyBytes is the first buffer of a body whose length is not known.
	minFirstBodyBytes = 4 << 10
)

// readBody reads a body to its end. declared is its length, negative if it is not known. The buffer starts with the declared
// length: a buffer that grows as that of io.ReadAll allocates about five times the body and needs more reads.
func readBody(body io.Reader, declared int64) ([]byte, error) {
	size := int64(minFirstBodyBytes)
	if declared >= 0 {
		size = min(declared+1, maxFirstBodyBytes) // one more, so that the end is read without growing the buffer
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
		if len(buffer) == cap(buffer) {
			size = 2 * int64(cap(buffer))
			if declared >= int64(cap(buffer)) {
				size = min(size, declared+1)
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
	}
}
