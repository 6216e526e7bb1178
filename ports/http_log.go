package ports

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// HTTPLog is the log service over HTTP.
type HTTPLog struct {
	addr   string
	caller caller
}

// NewHTTPLog returns the log service at an address (IP and port).
func NewHTTPLog(addr string, client *http.Client) *HTTPLog {
	return &HTTPLog{addr: addr, caller: caller{client: client}}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream Stream, group [][]byte) (Offset, error) {
	var answer AppendAnswer
	err := l.caller.post(ctx, "append", l.url(stream), AppendRequest{Group: group}, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream Stream, after Offset, limit int, wait time.Duration) (Page, error) {
	var page Page
	query := fmt.Sprintf("?after=%d&limit=%d&wait=%s", after, limit, wait)
	err := l.caller.get(ctx, "read", l.url(stream)+query, &page)
	return page, err
}

// url returns where a stream is. Names of streams may contain slashes.
func (l *HTTPLog) url(stream Stream) string {
	u := url.URL{Scheme: "http", Host: l.addr, Path: PathLog + string(stream)}
	return u.String()
}
