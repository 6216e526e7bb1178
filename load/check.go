package load

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"

	"github.com/fireflyfold/fireflyfold/standin"
)

// body returns the body of an operation: unique by its number and the seed,
// and size bytes long.
func body(seed, number uint64, size int) []byte {
	var source [16]byte
	binary.BigEndian.PutUint64(source[:8], seed)
	binary.BigEndian.PutUint64(source[8:], number)
	sum := sha256.Sum256(source[:])
	head := strconv.FormatUint(number, 10) + " " + hex.EncodeToString(sum[:16]) + "\n"
	if len(head) >= size {
		return []byte(head)
	}
	return []byte(head + strings.Repeat(".", size-len(head)))
}

// fault says what is wrong with an answer. The zero value is a good answer.
type fault string

// The faults of an answer.
const (
	faultForeign  fault = "foreign"  // not the answer to this request
	faultCut      fault = "cut"      // shorter or longer than the answer must be
	faultRepeated fault = "repeated" // the same run answered two requests
)

// checker compares answers with those that requests must get. It remembers
// which run answered, so that one run cannot answer two requests.
type checker struct {
	mu   sync.Mutex
	seen map[string]struct{}
}

func newChecker() *checker { return &checker{seen: make(map[string]struct{})} }

// check examines the whole answer to a request with the given body.
func (c *checker) check(sent, answer []byte) fault {
	task, ok := taskOf(answer)
	if !ok {
		return faultForeign
	}
	want := standin.EchoBody(task, sent, len(answer))
	if string(want) != string(answer) {
		return differs(want, answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, repeated := c.seen[task]; repeated {
		return faultRepeated
	}
	c.seen[task] = struct{}{}
	return ""
}

// differs tells a cut answer from one to another request.
func differs(want, answer []byte) fault {
	n := min(len(want), len(answer))
	if string(want[:n]) == string(answer[:n]) {
		return faultCut
	}
	return faultForeign
}

// taskOf reads the task from the first line of an answer.
func taskOf(answer []byte) (string, bool) {
	line, _, ok := strings.Cut(string(answer), "\n")
	if !ok {
		return "", false
	}
	return strings.CutPrefix(line, "task ")
}
