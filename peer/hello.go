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
	// helloTimeout bounds the opening of a connection: three messages between
	// data centres a millisecond apart, with room for a busy router.
	helloTimeout = 2 * time.Second
)

// WrongKeyError is the error of a router that does not hold the fleet key.
type WrongKeyError struct{ Router fleet.RouterID }

// Error names the router that was claimed.
func (e *WrongKeyError) Error() string {
	return "router " + string(e.Router) + " does not hold the fleet key"
}

// conn is a connection with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReader(c), writer: bufio.NewWriter(c)}
}

// greet opens a connection as its dialler and returns the other side's hello.
// Both sides prove that they hold the fleet key by an HMAC over both hellos,
// each of which has a fresh nonce, so that a proof that was overheard is of no
// use. The role is in the proof, so that a proof can't be sent back as one's own.
func (p *Peers) greet(c *conn) (*schema.Hello, error) {
	own, err := p.newHello()
	if err != nil {
		return nil, err
	}
	if err := p.sendHello(c, own); err != nil {
		return nil, err
	}
	theirs, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	proof := theirs.GetProof()
	theirs.Proof = nil
	if !hmac.Equal(proof, p.proof("acceptor", own, theirs)) {
		return nil, &WrongKeyError{Router: fleet.RouterID(theirs.GetRouter())}
	}
	return theirs, p.sendHello(c, &schema.Hello{Proof: p.proof("dialler", own, theirs)})
}

// welcome opens a connection as its acceptor and returns the other side's hello.
func (p *Peers) welcome(c *conn) (*schema.Hello, error) {
	theirs, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	own, err := p.newHello()
	if err != nil {
		return nil, err
	}
	theirs.Proof = nil
	signed := proto.CloneOf(own)
	signed.Proof = p.proof("acceptor", theirs, own)
	if err := p.sendHello(c, signed); err != nil {
		return nil, err
	}
	second, err := p.readHello(c)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(second.GetProof(), p.proof("dialler", theirs, own)) {
		return nil, &WrongKeyError{Router: fleet.RouterID(theirs.GetRouter())}
	}
	return theirs, nil
}

func (p *Peers) newHello() (*schema.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "nonce")
	}
	return &schema.Hello{
		Router: string(p.options.Self), DataCenter: string(p.options.DataCenter),
		Incarnation: int64(p.options.Incarnation), Address: p.options.Address, Nonce: nonce,
	}, nil
}

// proof returns the HMAC of both hellos. Fields go in with their lengths, so
// that no two pairs of hellos give the same bytes.
func (p *Peers) proof(role string, dialler, acceptor *schema.Hello) []byte {
	mac := hmac.New(sha256.New, p.options.Key)
	field := func(data []byte) {
		mac.Write(binary.AppendUvarint(nil, uint64(len(data))))
		mac.Write(data)
	}
	field([]byte(role))
	for _, hello := range []*schema.Hello{dialler, acceptor} {
		field([]byte(hello.GetRouter()))
		field([]byte(hello.GetDataCenter()))
		field([]byte(hello.GetAddress()))
		field(binary.BigEndian.AppendUint64(nil, uint64(hello.GetIncarnation())))
		field(hello.GetNonce())
	}
	return mac.Sum(nil)
}

func (p *Peers) sendHello(c *conn, hello *schema.Hello) error {
	data, err := proto.Marshal(hello)
	if err != nil {
		return eris.Wrap(err, "encode hello")
	}
	f := frame{helloFrame, data}
	if err := writeFrame(c.writer, f); err != nil {
		return err
	}
	p.count(metric.Sent, f.size())
	return eris.Wrap(c.writer.Flush(), "send hello")
}

func (p *Peers) readHello(c *conn) (*schema.Hello, error) {
	f, err := readFrame(c.reader, isHello)
	if err != nil {
		return nil, err
	}
	p.count(metric.Received, f.size())
	hello := &schema.Hello{}
	if err := proto.Unmarshal(f.payload, hello); err != nil {
		return nil, &MalformedFrameError{Kind: byte(f.kind), Length: uint64(len(f.payload))}
	}
	return hello, nil
}
