package settings

import (
	"fmt"
	"net"
	"strconv"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

type settingsDocument = document.Document[*schema.RouterSettings]

// contradictions adds the faults that lie between several values.
func contradictions(d *settingsDocument) {
	deadlines(d)
	queueBounds(d)
	addresses(d)
	operators(d)
}

func deadlines(d *settingsDocument) {
	callers := d.Message.GetCallers()
	chosen, highest := callers.GetDefaultDeadlineMs(), callers.GetMaxDeadlineMs()
	if chosen == 0 || highest == 0 || chosen <= highest {
		return
	}
	d.Add("callers.default-deadline-ms", document.Contradiction, fmt.Sprint(chosen),
		fmt.Sprintf("at most callers.max-deadline-ms, which is %d", highest))
}

func queueBounds(d *settingsDocument) {
	queue := d.Message.GetQueue()
	one, all := queue.GetMaxWaiting(), queue.GetMaxWaitingTotal()
	if one == 0 || all == 0 || one <= all {
		return
	}
	d.Add("queue.max-waiting", document.Contradiction, fmt.Sprint(one),
		fmt.Sprintf("at most queue.max-waiting-total, which is %d", all))
}

// listener is one of the addresses that a router listens on.
type listener struct {
	path string
	host string
	port string
}

// addresses looks for addresses that cannot all be listened on, or that other
// routers cannot connect to.
func addresses(d *settingsDocument) {
	s := d.Message
	var earlier []listener
	for _, field := range []struct{ path, address string }{
		{"caller-address", s.GetCallerAddress()},
		{"peer-address", s.GetPeerAddress()},
		{"admin-address", s.GetAdminAddress()},
	} {
		host, port, err := net.SplitHostPort(field.address)
		if err != nil {
			continue // Missing or malformed, which the schema's rule reported.
		}
		l := listener{field.path, host, port}
		checkPort(d, l)
		for _, other := range earlier {
			if l.collides(other) {
				d.Add(l.path, document.Contradiction, strconv.Quote(field.address), "an address other than that of "+other.path)
			}
		}
		earlier = append(earlier, l)
	}
	if host, _, err := net.SplitHostPort(s.GetPeerAddress()); err == nil && wildcard(host) {
		d.Add("peer-address", document.NotAllowed, strconv.Quote(s.GetPeerAddress()), "a host that other routers reach, not all interfaces")
	}
}

// maxPort is the highest TCP port.
const maxPort = 65535

func checkPort(d *settingsDocument, l listener) {
	if n, err := strconv.Atoi(l.port); err != nil || n > maxPort {
		d.Add(l.path, document.OutOfBounds, "port "+l.port, fmt.Sprintf("a port from 0 to %d", maxPort))
	}
}

// collides reports whether two listeners want the same port of the same host.
// Port 0 asks the kernel for a free one, so that two of them never collide.
func (l listener) collides(other listener) bool {
	if l.port != other.port || l.port == "0" {
		return false
	}
	return l.host == other.host || wildcard(l.host) || wildcard(other.host)
}

func wildcard(host string) bool {
	return host == "" || net.ParseIP(host).IsUnspecified()
}

// operators looks for two operators with one name, whose changes the history
// could not tell apart, and for two with one key, of which the second would never be found.
func operators(d *settingsDocument) {
	names, keys := map[string]int{}, map[string]int{}
	for i, operator := range d.Message.GetOperatorKeys() {
		path := fmt.Sprintf("operator-keys[%d]", i)
		if first, ok := names[operator.GetName()]; ok && operator.GetName() != "" {
			d.Add(path+".name", document.Contradiction, strconv.Quote(operator.GetName()),
				fmt.Sprintf("a name other than that of operator-keys[%d]", first))
		}
		if first, ok := keys[operator.GetKeySha256()]; ok && operator.GetKeySha256() != "" {
			d.Add(path+".key-sha256", document.Contradiction, "the same key",
				fmt.Sprintf("a key other than that of operator-keys[%d]", first))
		}
		names[operator.GetName()] = i
		keys[operator.GetKeySha256()] = i
	}
}
