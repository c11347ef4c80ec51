package scenario

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// The ports that routers are given. They lie below those that the machine
// gives to outgoing connections, which could else take a port between its
// choice and the router's start, or while the router is down for a restart.
const (
	firstPort = 10000
	ports     = 20000
	portTries = 100
)

// lastPort counts up from a place of this process's own, so that two test
// processes on one machine seldom meet.
var lastPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(rand.Int64N(ports))
	return &n
}()

// freePort returns an address of the loopback that nobody listens on and that
// was not returned before.
func freePort() (string, error) {
	for range portTries {
		address := "127.0.0.1:" + strconv.FormatInt(firstPort+lastPort.Add(1)%ports, 10)
		listener, err := net.Listen("tcp", address) //nolint:noctx // returns at once
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port found")
}
