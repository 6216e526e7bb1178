package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/problem"
)

const (
	callTimeout = 30 * time.Second // of one call, besides what the caller waits for
	dialTimeout = 3 * time.Second
	// askTimeout bounds a question to one host while there are others to ask.
	askTimeout = 3 * time.Second
	maxAnswer  = 64 << 20 // bytes of an answer
)

// client calls entry hosts.
type client struct {
	hosts []string // base URLs, tried in order while none can be reached
	key   string
	http  *http.Client
}

// newClient returns a client for hosts, separated by commas, each an IP number
// with a port or a URL. ca is the path of a PEM file or empty.
func newClient(hosts, key, ca string) (*client, error) {
	c := &client{key: key}
	for _, host := range strings.Split(hosts, ",") {
		host = strings.TrimRight(strings.TrimSpace(host), "/")
		if host == "" {
			return nil, &UsageError{Detail: "--host: an IP number with a port, or several separated by commas"}
		}
		if !strings.Contains(host, "://") {
			host = "http://" + host
		}
		c.hosts = append(c.hosts, host)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
	}
	if ca != "" {
		pool, err := certPool(ca)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport}
	return c, nil
}

func certPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &UsageError{Detail: path + " holds no PEM certificate"}
	}
	return pool, nil
}

// call is one call to a host.
type call struct {
	method  string
	path    string
	body    any // sent as JSON unless nil
	headers map[string]string
	extra   time.Duration // that the host may take on top of callTimeout
}

// do makes a call and decodes the answer into out. A host that cannot be
// reached is passed over: nothing was sent to it. Once something was sent no
// other host is tried, because the first may have acted on it.
func (c *client) do(ctx context.Context, req call, out any) error {
	var body []byte
	if req.body != nil {
		encoded, err := json.Marshal(req.body)
		if err != nil {
			return &UsageError{Detail: err.Error()}
		}
		body = encoded
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+req.extra)
	defer cancel()
	var last error
	for i, host := range c.hosts {
		last = c.ask(ctx, host, req, body, out, i == len(c.hosts)-1)
		var unreachable *UnreachableError
		if !errors.As(last, &unreachable) {
			return last
		}
	}
	return last
}

// ask makes a call to one host, and leaves time for the others if it is a
// question. A host whose process is stopped or hangs still takes connections:
// without the bound it would use up the time for all.
func (c *client) ask(ctx context.Context, host string, req call, body []byte, out any, last bool) error {
	if req.method == http.MethodGet && !last {
		bounded, cancel := context.WithTimeout(ctx, askTimeout+req.extra)
		defer cancel()
		ctx = bounded
	}
	return c.once(ctx, host, req, body, out)
}

// once makes a call to one host.
func (c *client) once(ctx context.Context, host string, req call, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, req.method, host+req.path, bytes.NewReader(body))
	if err != nil {
		return &UsageError{Detail: err.Error()}
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	for name, value := range req.headers {
		r.Header.Set(name, value)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return failure(host, req.method, err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return failure(host, req.method, err)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return problemFrom(host, req.method, answer, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return failure(host, req.method, err)
	}
	return nil
}

// failure tells a call that reached no host, or that changes nothing, from one
// that may have taken effect.
func failure(host, method string, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if notSent || method == http.MethodGet {
		return &UnreachableError{Host: host, Cause: err}
	}
	return &UnansweredError{Host: host, Cause: err}
}

// problemFrom reads a refusal. Anything but a whole problem document comes
// from something in between, such as a balancer, and proves nothing.
func problemFrom(host, method string, answer *http.Response, data []byte) error {
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" || !p.Outcome.Valid() {
		return failure(host, method, &NoProblemError{Status: answer.Status})
	}
	return &p
}

// NoProblemError reports a refusal that is no problem document.
type NoProblemError struct {
	Status string
}

// Error implements error.
func (e *NoProblemError) Error() string {
	return "answered " + e.Status + " without saying whether it ran; is this an entry host?"
}
