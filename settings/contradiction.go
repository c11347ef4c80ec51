package settings

import (
	"fmt"
	"net"
	"strconv"

	"nutmeglock.example/nutmeglock/document"
	"nutmeglock.example/nutmeglock/schema"
)

type settingsDocument = document.Document[*schema.RouterSettings]

// checkContradictions adds faults for values that contradict each other.
func checkContradictions(d *settingsDocument) {
	checkDeadlines(d)
	checkQueueLimits(d)
	checkAddresses(d)
	checkOperatorKeys(d)
}

func checkDeadlines(d *settingsDocument) {
	callers := d.Message.GetCallers()
	defaultMs, maxMs := callers.GetDefaultDeadlineMs(), callers.GetMaxDeadlineMs()
	if defaultMs == 0 || maxMs == 0 || defaultMs <= maxMs {
		return
	}
	d.AddFault("callers.default-deadline-ms", document.Contradiction, fmt.Sprint(defaultMs),
		fmt.Sprintf("at most callers.max-deadline-ms, which is %d", maxMs))
}

func checkQueueLimits(d *settingsDocument) {
	queue := d.Message.GetQueue()
	perAccount, total := queue.GetMaxWaiting(), queue.GetMaxWaitingTotal()
	if perAccount == 0 || total == 0 || perAccount <= total {
		return
	}
	d.AddFault("queue.max-waiting", document.Contradiction, fmt.Sprint(perAccount),
		fmt.Sprintf("at most queue.max-waiting-total, which is %d", total))
}

// listener is one of the addresses that a router listens on.
type listener struct {
	path string
	host string
	port string
}

// checkAddresses finds addresses that cannot be listened on together, or that
// other routers cannot connect to.
func checkAddresses(d *settingsDocument) {
	s := d.Message
	var earlier []listener
	for _, field := range []struct{ path, address string }{
		{"caller-address", s.GetCallerAddress()},
		{"peer-address", s.GetPeerAddress()},
		{"admin-address", s.GetAdminAddress()},
	} {
		host, port, err := net.SplitHostPort(field.address)
		if err != nil {
			continue // The schema's rule has reported the address as missing or malformed.
		}
		l := listener{field.path, host, port}
		checkPort(d, l)
		for _, other := range earlier {
			if l.collides(other) {
				d.AddFault(l.path, document.Contradiction, strconv.Quote(field.address), "an address other than that of "+other.path)
			}
		}
		earlier = append(earlier, l)
	}
	if host, _, err := net.SplitHostPort(s.GetPeerAddress()); err == nil && isWildcard(host) {
		d.AddFault("peer-address", document.NotAllowed, strconv.Quote(s.GetPeerAddress()), "a host that other routers reach, not all interfaces")
	}
}

// maxPort is the highest TCP port.
const maxPort = 65535

func checkPort(d *settingsDocument, l listener) {
	if n, err := strconv.Atoi(l.port); err != nil || n > maxPort {
		d.AddFault(l.path, document.OutOfBounds, "port "+l.port, fmt.Sprintf("a port from 0 to %d", maxPort))
	}
}

// collides reports whether two listeners need the same port of the same host.
// Port 0 asks the kernel for a free one and never collides.
func (l listener) collides(other listener) bool {
	if l.port != other.port || l.port == "0" {
		return false
	}
	return l.host == other.host || isWildcard(l.host) || isWildcard(other.host)
}

func isWildcard(host string) bool {
	return host == "" || net.ParseIP(host).IsUnspecified()
}

// checkOperatorKeys finds operators with the same name, whose changes the
// history could not distinguish, and operators with the same key, of which only
// one could be authenticated.
func checkOperatorKeys(d *settingsDocument) {
	names, keys := map[string]int{}, map[string]int{}
	for i, operator := range d.Message.GetOperatorKeys() {
		path := fmt.Sprintf("operator-keys[%d]", i)
		if first, ok := names[operator.GetName()]; ok && operator.GetName() != "" {
			d.AddFault(path+".name", document.Contradiction, strconv.Quote(operator.GetName()),
				fmt.Sprintf("a name other than that of operator-keys[%d]", first))
		}
		if first, ok := keys[operator.GetKeySha256()]; ok && operator.GetKeySha256() != "" {
			d.AddFault(path+".key-sha256", document.Contradiction, "the same key",
				fmt.Sprintf("a key other than that of operator-keys[%d]", first))
		}
		names[operator.GetName()] = i
		keys[operator.GetKeySha256()] = i
	}
}
