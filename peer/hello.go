package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/metric"
	"nutmeglock.example/nutmeglock/schema"
)

const (
	nonceBytes = 16
	// handshakeTimeout bounds dialling and the handshake, each. The handshake is
	// three messages between data centres that are a millisecond apart; the rest
	// is margin for a busy router.
	handshakeTimeout = 2 * time.Second
)

// WrongKeyError reports a router whose proof of the fleet key is invalid.
type WrongKeyError struct{ Router fleet.RouterID }

// Error returns a message with the id that the other side gave.
func (e *WrongKeyError) Error() string {
	return "router " + string(e.Router) + " does not hold the fleet key"
}

// bufferedConn is a connection with buffered reads and writes.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newBufferedConn(c net.Conn) *bufferedConn {
	return &bufferedConn{Conn: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
}

// handshakeAsDialler performs the handshake on a dialled connection and returns
// the other side's hello. Each side proves that it holds the fleet key by an
// HMAC over both hellos. Each hello has a fresh nonce, so that a recorded proof
// can't be replayed, and the HMAC covers the role, so that a proof can't be
// reflected to its sender.
func (p *Peers) handshakeAsDialler(c *bufferedConn) (*schema.Hello, error) {
	local, err := p.newHello()
	if err != nil {
		return nil, err
	}
	if err := p.sendHello(c, local); err != nil {
		return nil, err
	}
	remote, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	proof := remote.GetProof()
	remote.Proof = nil
	if !hmac.Equal(proof, p.proof("acceptor", local, remote)) {
		return nil, &WrongKeyError{Router: fleet.RouterID(remote.GetRouter())}
	}
	return remote, p.sendHello(c, &schema.Hello{Proof: p.proof("dialler", local, remote)})
}

// handshakeAsAcceptor performs the handshake on an accepted connection and
// returns the other side's hello.
func (p *Peers) handshakeAsAcceptor(c *bufferedConn) (*schema.Hello, error) {
	remote, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	local, err := p.newHello()
	if err != nil {
		return nil, err
	}
	remote.Proof = nil
	signed := proto.CloneOf(local)
	signed.Proof = p.proof("acceptor", remote, local)
	if err := p.sendHello(c, signed); err != nil {
		return nil, err
	}
	answer, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(answer.GetProof(), p.proof("dialler", remote, local)) {
		return nil, &WrongKeyError{Router: fleet.RouterID(remote.GetRouter())}
	}
	return remote, nil
}

func (p *Peers) newHello() (*schema.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "generate nonce")
	}
	return &schema.Hello{
		Router: string(p.options.Self), DataCenter: string(p.options.DataCenter),
		Incarnation: int64(p.options.Incarnation), Address: p.options.Address, Nonce: nonce,
	}, nil
}

// proof returns the HMAC over the role and both hellos. Each field is prefixed
// with its length, so that different hellos never encode to the same bytes.
func (p *Peers) proof(role string, dialler, acceptor *schema.Hello) []byte {
	mac := hmac.New(sha256.New, p.options.Key)
	addField := func(data []byte) {
		mac.Write(binary.AppendUvarint(nil, uint64(len(data))))
		mac.Write(data)
	}
	addField([]byte(role))
	for _, hello := range []*schema.Hello{dialler, acceptor} {
		addField([]byte(hello.GetRouter()))
		addField([]byte(hello.GetDataCenter()))
		addField([]byte(hello.GetAddress()))
		addField(binary.BigEndian.AppendUint64(nil, uint64(hello.GetIncarnation())))
		addField(hello.GetNonce())
	}
	return mac.Sum(nil)
}

func (p *Peers) sendHello(c *bufferedConn, hello *schema.Hello) error {
	data, err := proto.Marshal(hello)
	if err != nil {
		return eris.Wrap(err, "encode hello")
	}
	f := frame{helloFrame, data}
	if err := writeFrame(c.writer, f); err != nil {
		return err
	}
	p.countBytes(metric.Sent, f.size())
	return eris.Wrap(c.writer.Flush(), "send hello")
}

func (p *Peers) readHello(c *bufferedConn) (*schema.Hello, error) {
	f, err := readFrame(c.reader, isHelloFrame)
	if err != nil {
		return nil, err
	}
	p.countBytes(metric.Received, f.size())
	hello := &schema.Hello{}
	if err := proto.Unmarshal(f.payload, hello); err != nil {
		return nil, &MalformedFrameError{Kind: byte(f.kind), Length: uint64(len(f.payload))}
	}
	return hello, nil
}
