package gateway

import (
	"errors"
	"io"
	"net/http"
)

// ReadBody reads the whole body of a request, at most limit bytes; 0 or less means no
// limit. If reading fails, status is the HTTP status to answer with and detail gives the
// reason; otherwise status is 0.
func ReadBody(wr http.ResponseWriter, rq *http.Request, limit int64) (body []byte, status int, detail string) {
	rd := io.Reader(rq.Body)
	if limit > 0 {
		rd = http.MaxBytesReader(wr, rq.Body, limit)
	}
	body, err := io.ReadAll(rd)
	var mb *http.MaxBytesError
	switch {
	case errors.Is(err, ErrNoMemory):
		return nil, http.StatusServiceUnavailable, ErrNoMemory.Error()
	case errors.As(err, &mb):
		return nil, http.StatusRequestEntityTooLarge, bodyTooLarge
	case err != nil:
		return nil, http.StatusBadRequest, "body can't be read"
	}
	return body, 0, ""
}

// ErrNoMemory is returned by the reader of a body for which no memory is left.
var ErrNoMemory = errors.New("no memory left for the body")

const bodyTooLarge = "body too large"
