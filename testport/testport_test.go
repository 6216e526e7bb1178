package testport

import (
	"net"
	"testing"
)

// Enough that a port which is merely free at first is almost certainly taken by one of the others.
const (
	reservedPorts = 300
	otherSockets  = 1200
)

// Guards against a port that another connection or listener takes before, between and after the
// listeners of the program for which it was chosen.
func TestReservedPortIsTakenByNobodyElse(t *testing.T) {
	var addresses []string
	for range reservedPorts {
		addresses = append(addresses, Reserve(t))
	}
	openSockets(t, otherSockets/2)
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	openSockets(t, otherSockets/2)
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
	}
}

// openSockets opens that many outgoing connections and as many listeners on ports that the kernel
// chooses.
func openSockets(t *testing.T, n int) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	for range n {
		c, err := net.Dial("tcp", target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		accepted, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = accepted.Close() })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
	}
}

// Guards against two tests that reserve one port.
func TestPortIsReservedOnce(t *testing.T) {
	first, err := reserve(0)
	if err != nil {
		t.Fatal(err)
	}
	defer first.close()
	if again, err := reserve(first.port); err == nil {
		again.close()
		t.Errorf("port %d was reserved twice", first.port)
	}
	seen := make(map[string]bool)
	for range 20 {
		for _, a := range ReserveSequence(t, 50) {
			if seen[a] {
				t.Errorf("%s was reserved twice", a)
			}
			seen[a] = true
		}
	}
}
