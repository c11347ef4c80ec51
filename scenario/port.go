package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// The ports of routers. They are below the ephemeral port range, from which an
// outgoing connection could take a port before the router listens on it, or
// while the router is down for a restart.
const (
	firstPort    = 10000
	portCount    = 20000
	maxPortTries = 100
)

// portCounter starts at a random offset, so that test processes on one machine
// seldom try the same ports.
var portCounter = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(portCount))
	return &n
}()

// freePort returns a loopback address that is not in use and was not returned
// before.
func freePort() (string, error) {
	for range maxPortTries {
		address := "127.0.0.1:" + strconv.FormatInt(firstPort+portCounter.Add(1)%portCount, 10)
		listener, err := net.Listen("tcp", address) //nolint:noctx // returns at once
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port found")
}
