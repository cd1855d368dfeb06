package httpresponse

import (
	"io"
	"net/http"
)

// CheckTrailer makes reads of the body of a chunked response return an error in place of io.EOF if the trailer behind the body
// is malformed: only a valid trailer shows that the response is complete.
func CheckTrailer(r *http.Response) {
	if len(r.TransferEncoding) > 0 && r.Body != http.NoBody {
		r.Body = &chunkedBody{r.Body, r}
	}
}

// chunkedBody is the body of a response, whose trailer net/http has read when the body ends.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
