package exhaustion

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"sync/atomic"
)

// maxBody and maxHead are the limits of the configuration, in bytes.
const (
	maxBody = 256 << 10
	maxHead = 16 << 10
)

// jobIDs numbers the jobs of all crowds.
var jobIDs atomic.Int64

func jobPath() string { return fmt.Sprintf("/p/%016x", jobIDs.Add(1)) }

// request returns the head of a request to a queue of the host.
func request(method, path string, headers ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nCredential: k1\r\nDeadline-Ms: 3000\r\n" +
		strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

func lengthOf(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunkedBody = "Transfer-Encoding: chunked"

// paddedJob returns a valid submission of one task that is as long as a body may be.
func paddedJob() []byte {
	const job, end = `{"spec":"x","steps":[{"count":1,"cpu":100}]`, `}`
	return []byte(job + strings.Repeat(" ", maxBody-len(job)-len(end)) + end)
}

// repeated returns a body of at most n bytes that repeats an element between a beginning and an end.
func repeated(n int, begin, element, end string) []byte {
	count := (n - len(begin) - len(end)) / len(element)
	return []byte(begin + strings.TrimSuffix(strings.Repeat(element, count), ",") + end)
}

// inPieces writes data in pieces of n bytes, each in a packet of its own.
func inPieces(w *bufio.Writer, data []byte, n int) error {
	for len(data) > 0 {
		piece := data[:min(n, len(data))]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		data = data[len(piece):]
	}
	return nil
}

// inChunks writes data as chunks of n bytes, without the last chunk that ends a body.
func inChunks(w *bufio.Writer, data []byte, n int) error {
	for len(data) > 0 {
		chunk := data[:min(n, len(data))]
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// repeat writes a text until n bytes are written.
func repeat(w *bufio.Writer, text string, n int) error {
	block := strings.Repeat(text, max(1, (16<<10)/len(text)))
	for written := 0; written < n; written += len(block) {
		if _, err := w.WriteString(block); err != nil {
			return err
		}
	}
	return nil
}

// compressed returns n zero bytes, compressed.
func compressed(n int) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	block := make([]byte, 1<<20)
	for written := 0; written < n; written += len(block) {
		_, _ = z.Write(block) // writes to memory do not fail
	}
	_ = z.Close()
	return b.Bytes()
}
