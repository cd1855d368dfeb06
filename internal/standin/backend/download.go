package backend

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Query parameters with which a caller asks for a special response.
const (
	// ParameterTime is a duration that the execution takes at least.
	ParameterTime = "standin-time"
	// ParameterBytes is the length of the response body, which is then DownloadContent.
	ParameterBytes = "standin-bytes"
	// ParameterRate is the rate in bytes a second at which that body is sent; 0 or absent means at once.
	ParameterRate = "standin-rate"
)

// HeaderService carries the name of the stand-in's service in the response.
const HeaderService = "X-Standin-Service"

const (
	// maxDownloadBytes bounds ParameterBytes.
	maxDownloadBytes = 64 << 20
	// downloadPartTime is the time between two parts of a body with a rate.
	downloadPartTime = 20 * time.Millisecond
)

// DownloadContent returns the body of a download of a length: decimal numbers in rising order, so that a part that is missing,
// repeated or out of place shows.
func DownloadContent(length int) []byte {
	content := make([]byte, 0, length+16)
	for line := 0; len(content) < length; line++ {
		content = append(strconv.AppendInt(content, int64(line), 10), '\n')
	}
	return content[:length]
}

// requestedTime returns the least duration of the execution of a request.
func requestedTime(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get(ParameterTime))
	if err != nil {
		return 0
	}
	return d
}

// requestedBytes returns the length of the download that a request asks for, or 0.
func requestedBytes(r *http.Request) int {
	length, err := strconv.Atoi(r.URL.Query().Get(ParameterBytes))
	if err != nil {
		return 0
	}
	return min(max(length, 0), maxDownloadBytes)
}

// writeDownload sends a body at the rate that the request asks for, until the caller has gone.
func writeDownload(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	rate, err := strconv.Atoi(r.URL.Query().Get(ParameterRate))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if err != nil || rate <= 0 {
		_, _ = w.Write(body) // fails only if the caller has gone
		return
	}
	part := max(int(int64(rate)*int64(downloadPartTime)/int64(time.Second)), 1)
	pause := time.NewTicker(downloadPartTime)
	defer pause.Stop()
	for len(body) > 0 {
		n := min(part, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		if body = body[n:]; http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
	}
}
