package frontend

import (
	"strings"
	"testing"
)

// Guards against a Grpc-Timeout that is parsed as zero, as negative or as longer than maxTimeout, and against one that
// is accepted although the protocol does not allow it.
func FuzzParseGrpcTimeout(f *testing.F) {
	for _, text := range []string{"1n", "500m", "2S", "99999999H", "0S", "-1S", "+1S", "1_0S", "S", "", "1 S", "100000000n"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		timeout, err := parseGrpcTimeout(text)
		if err != nil {
			return
		}
		digits := strings.Trim(text[:len(text)-1], "0123456789") == ""
		if timeout <= 0 || timeout > maxTimeout || !digits {
			t.Errorf("%q is read as %v", text, timeout)
		}
	})
}
