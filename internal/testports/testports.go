// Package testports finds free ports for processes that tests start.
package testports

import (
	"net"
	"strconv"
)

const loopback = "127.0.0.1"

// Adjacent returns the first of n free adjacent ports of the loopback interface. Another process may take them before they
// are used.
func Adjacent(n int) (int, error) {
	for {
		first, listeners, err := listenAdjacent(n)
		for _, l := range listeners {
			_ = l.Close() // it only tested the port
		}
		if err != nil {
			return 0, err
		}
		if len(listeners) == n {
			return first, nil
		}
	}
}

// listenAdjacent opens listeners on a port that the kernel chooses and on those after it, as far as they are free.
func listenAdjacent(n int) (first int, listeners []net.Listener, err error) {
	l, err := net.Listen("tcp", Address(0))
	if err != nil {
		return 0, nil, err
	}
	listeners = append(listeners, l)
	first = l.Addr().(*net.TCPAddr).Port
	for len(listeners) < n {
		next, err := net.Listen("tcp", Address(first+len(listeners)))
		if err != nil {
			return 0, listeners, nil // taken by another process
		}
		listeners = append(listeners, next)
	}
	return first, listeners, nil
}

// Address returns the address of a port of the loopback interface.
func Address(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }
