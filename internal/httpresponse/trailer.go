package httpresponse

import (
	"io"
	"net/http"
)

// CheckTrailer makes reads of the body of a chunked response return an error in place of io.EOF if the trailer behind the body
// is malformed: only a valid trailer shows that the response is complete. Errors of chunks are those of ParseError.
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
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF:
		return n, ParseError(err)
	}
	if err := CheckFields(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
