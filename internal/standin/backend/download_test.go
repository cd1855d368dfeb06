package backend

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a stand-in that sends a download as a whole, cuts it, or takes less than the time that a request asks for.
func TestDownloadIsSentAtItsRate(t *testing.T) {
	s := New(Options{Service: "documents", Slots: 1})
	defer s.Close()
	server := httptest.NewServer(s)
	defer server.Close()
	const length, took = 100_000, 200 * time.Millisecond
	began := time.Now()
	response, err := http.Get(server.URL + "/plan?" + ParameterBytes + "=100000&" + ParameterRate + "=500000&" + ParameterTime + "=50ms")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Equal(body, DownloadContent(length)) || response.Header.Get(HeaderService) != "documents" {
		t.Errorf("%d bytes of %q, %v", len(body), response.Header.Get(HeaderService), err)
	}
	if elapsed := time.Since(began); elapsed < took {
		t.Errorf("the download took %v, expected at least %v", elapsed, took)
	}
}
