// Package testport reserves TCP ports of the loopback address for tests that start programs or hosts
// which open listeners of their own.
//
// A reservation is a socket that is bound to the port and does not listen. While it is open, the kernel
// gives the port neither to outgoing connections nor to listeners that ask for any port, and a second
// reservation of it fails. A listener that names the port and sets SO_REUSEADDR, as package net
// does, can open it, close it and open it again. Linux only.
package testport

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Reserve returns an address IP:port that is reserved until the end of the test.
func Reserve(t testing.TB) string {
	t.Helper()
	r, err := reserve(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	return r.address()
}

// Sequences are chosen below the range from which the kernel takes ports by itself, where most
// ports are free.
const (
	firstPort = 12_000
	lastPort  = 30_000
	maxDraws  = 100
)

// ReserveSequence returns n addresses IP:port with consecutive ports that are reserved until the
// end of the test.
func ReserveSequence(t testing.TB, n int) []string {
	t.Helper()
	for range maxDraws {
		if addresses := reserveFrom(t, firstPort+rand.IntN(lastPort-firstPort-n), n); addresses != nil {
			return addresses
		}
	}
	t.Fatalf("no %d consecutive free ports", n)
	return nil
}

// reserveFrom returns nil if one of the ports is in use.
func reserveFrom(t testing.TB, first, n int) []string {
	var reserved []reservation
	for port := first; port < first+n; port++ {
		r, err := reserve(port)
		if err != nil {
			for _, r := range reserved {
				r.close()
			}
			return nil
		}
		reserved = append(reserved, r)
	}
	var addresses []string
	for _, r := range reserved {
		t.Cleanup(r.close)
		addresses = append(addresses, r.address())
	}
	return addresses
}

// reservation is the socket that holds a port.
type reservation struct {
	fd, port int
}

// PortError reports that a port could not be reserved.
type PortError struct {
	Port  int // 0 for any port
	Cause error
}

// Error implements error.
func (e *PortError) Error() string { return fmt.Sprintf("reserve TCP port %d: %v", e.Port, e.Cause) }

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Cause }

var loopback = [4]byte{127, 0, 0, 1}

// reserve reserves a port, any free one for 0. The error is a *PortError.
func reserve(port int) (reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservation{}, &PortError{Port: port, Cause: err}
	}
	bound, err := bind(fd, port)
	if err != nil {
		return reservation{}, errors.CombineErrors(&PortError{Port: port, Cause: err}, unix.Close(fd))
	}
	return reservation{fd: fd, port: bound}, nil
}

// bind binds the socket alone, and only then lets others bind the same port: with SO_REUSEADDR set
// before, two reservations of one port would both succeed.
func bind(fd, port int) (int, error) {
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: loopback}); err != nil {
		return 0, err
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return name.(*unix.SockaddrInet4).Port, nil
}

func (r reservation) address() string {
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(r.port)).String()
}

func (r reservation) close() { _ = unix.Close(r.fd) } // the port is free either way
