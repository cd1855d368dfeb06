package ingress

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Guards against bodies that are cut or repeated where the buffer grows, and against an error that is lost.
func TestReadBody(t *testing.T) {
	content := make([]byte, 3*maxFirstBodyBytes)
	for i := range content {
		content[i] = byte(i * 7)
	}
	errBroken := errors.New("broken")
	for _, size := range []int{0, 1, minFirstBodyBytes - 1, minFirstBodyBytes, maxFirstBodyBytes - 1, maxFirstBodyBytes, maxFirstBodyBytes + 1, len(content)} {
		for _, declared := range []int64{-1, int64(size)} {
			want := content[:size]
			for name, reader := range map[string]io.Reader{
				"whole": bytes.NewReader(want), "end with data": iotest.DataErrReader(bytes.NewReader(want)), "halves": iotest.HalfReader(bytes.NewReader(want)),
			} {
				if got, err := readBody(reader, declared); err != nil || !bytes.Equal(got, want) {
					t.Errorf("%s, %d bytes, declared %d: read %d bytes, error %v", name, size, declared, len(got), err)
				}
			}
			broken := io.MultiReader(bytes.NewReader(want), iotest.ErrReader(errBroken))
			if got, err := readBody(broken, declared); err != errBroken || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, declared %d, then an error: read %d bytes, error %v", size, declared, len(got), err)
			}
		}
	}
}

// Guards against a buffer that grows in steps although the length of the body is known.
func TestReadBodyAllocatesOnce(t *testing.T) {
	content := make([]byte, maxFirstBodyBytes-1)
	reader := bytes.NewReader(content)
	allocations := testing.AllocsPerRun(100, func() {
		reader.Reset(content)
		if _, err := readBody(reader, int64(len(content))); err != nil {
			t.Fatal(err)
		}
	})
	if allocations > 1 {
		t.Errorf("%v allocations, expected 1", allocations)
	}
}
