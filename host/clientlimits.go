package host

import (
	"cmp"
	"errors"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflyfold/fireflyfold/connlimit"
	"github.com/fireflyfold/fireflyfold/platform"
)

const (
	// reservedFDs is how many file descriptors are left to files.
	reservedFDs = 200
	// frontFDShare, controlFDShare and readyFDShare are the fractions of all sockets that clients of
	// each port may have. The rest is for calls of this host.
	frontFDShare   = 3. / 8
	controlFDShare = 1. / 4
	readyFDShare   = 1. / 16
	// minConns is the least number of connections that a port accepts.
	minConns = 16
	// connMemoryShare is the fraction of the memory that connections of one port may take up, each
	// with connBytes: its goroutine, its buffers and what it has received.
	connMemoryShare = 1. / 4
	connBytes       = 40 << 10
	// frontMemoryShare and controlMemoryShare are the fractions of the memory that requests which are
	// not answered yet may take up.
	frontMemoryShare   = 1. / 5
	controlMemoryShare = 1. / 10
	// readyMemory is the same in bytes: the balancer's requests are small.
	readyMemory = 1 << 20
	// receiveBuffer is the size of the receive buffer of each connection. What was received and not
	// read counts as memory of the process.
	receiveBuffer = 16 << 10
	// bodyTimeout bounds the time that a body may take, and writeTimeout each write of an answer.
	bodyTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
	// defaultMaxHeaderBytes bounds the head of a request if the configuration sets no limit.
	defaultMaxHeaderBytes = 64 << 10
	// rpcMargin is the part of a call between hosts that is not its record.
	rpcMargin = 64 << 10
)

// maxConns returns how many connections a port may have that gets a share of all sockets.
func (h *Host) maxConns(share float64) int {
	bySockets := share * float64(h.settings.MaxFDs-reservedFDs)
	byMemory := connMemoryShare * h.memoryBytes() / connBytes
	return max(int(min(bySockets, byMemory)), minConns)
}

func (h *Host) memoryBytes() float64 { return float64(h.settings.MemoryMB) * (1 << 20) }

// frontLimits returns what callers may hold of the process.
func (h *Host) frontLimits() connlimit.Options {
	return connlimit.Options{
		MaxConns: h.maxConns(frontFDShare), MaxBytes: int64(frontMemoryShare * h.memoryBytes()), MaxHeadBytes: h.maxHeaderBytes,
		ReceiveBuffer: receiveBuffer, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
	}
}

// controlLimits returns what clients of the port for other hosts may hold.
func (h *Host) controlLimits() connlimit.Options {
	return connlimit.Options{
		MaxConns: h.maxConns(controlFDShare), MaxBytes: int64(controlMemoryShare * h.memoryBytes()), MaxHeadBytes: maxOwnHeaderBytes,
		ReceiveBuffer: receiveBuffer, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
	}
}

// readyLimits returns what clients of the readiness port may hold.
func (h *Host) readyLimits() connlimit.Options {
	return connlimit.Options{
		MaxConns: h.maxConns(readyFDShare), MaxBytes: readyMemory, MaxHeadBytes: maxOwnHeaderBytes,
		ReceiveBuffer: receiveBuffer, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout,
	}
}

func maxOwnHeaderBytes() int { return defaultMaxHeaderBytes }

// maxHeaderBytes returns the bound of the head of a caller's request.
func (h *Host) maxHeaderBytes() int {
	if config := h.config.Config(); config != nil {
		return cmp.Or(config.Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	}
	return defaultMaxHeaderBytes
}

// maxRPCBytes returns the bound of a call of another host: the largest carries a record of the intake.
func (h *Host) maxRPCBytes() int64 {
	return int64(min(h.settings.MaxRecordBytes, math.MaxInt32)) + rpcMargin
}

// rpcOptions bound the calls of other hosts, which do not compress them.
func (h *Host) rpcOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(int(h.maxRPCBytes())), connect.WithCompression("gzip", nil, nil)}
}

// readBody reads the body of a submission, and takes up the memory for decoding it. It answers the
// call and reports false if the body is too large, does not come in time, or finds no memory.
func (c *call) readBody() ([]byte, bool) {
	body, err := connlimit.ReadBody(c.w, c.r, cmp.Or(c.config.Limits.MaxBodyBytes, defaultMaxBodyBytes))
	if err == nil {
		err = connlimit.Charge(c.ctx, platform.DecodedJobBytes(body, c.host.maxJobTasks()))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		c.w.Header().Set("Connection", "close") // the rest of the body is not read
		c.answer(http.StatusRequestEntityTooLarge, nil)
	default:
		c.w.Header().Set("Connection", "close")
		c.refuse("the request was not received, or found no memory")
	}
	return nil, false
}
