package connlimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
)

// firstBuffer is the size of the buffer for a body of unknown length in bytes, and the most that is
// allocated for an announced length.
const firstBuffer = 4 << 10

// ReadBody reads the body of a request to its end. The error is an *http.MaxBytesError if it has more
// than most bytes, or one of reading it, such as an *EvictedError or a *MemoryError.
func ReadBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		return nil, &http.MaxBytesError{Limit: most}
	}
	size := r.ContentLength
	if size < 0 || size > firstBuffer {
		size = firstBuffer
	}
	var b bytes.Buffer
	b.Grow(int(size) + bytes.MinRead)
	if _, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, most)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Buffer reads the body of each request before it calls next, and answers with 413 if it has more
// than most bytes, and with 503 if it does not come or finds no memory. Handlers that keep buffers for
// use by further requests then need them for a moment only, and not while a body comes.
func Buffer(next http.Handler, most int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(w, r, most)
		if err != nil {
			Refuse(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		next.ServeHTTP(w, r)
	})
}

// retryAfterSeconds is the Retry-After of a refusal in seconds.
const retryAfterSeconds = 1

// Refuse answers a request whose body could not be read, for an error of ReadBody.
func Refuse(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	} else {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	w.WriteHeader(status)
}
