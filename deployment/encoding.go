package deployment

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/route"
	"nutmeglock.example/nutmeglock/schema"
)

// deflated names the encoding of a schema.Configuration that is compressed by DEFLATE.
const deflated = "deflate"

// maxConfiguration bounds a configuration that another router sent, in bytes.
const maxConfiguration = 32 << 20

// encodingCache holds the latest configuration as other routers get it. Its zero
// value is empty. It is safe for concurrent use.
//
// In a large fleet most routers ask the same few for a new configuration at the same
// moment. Encoding it for each of them takes those few seconds of processor time.
type encodingCache struct {
	mu      sync.Mutex
	version fleet.Version
	data    []byte
}

// encode returns a configuration deflated, or a newer one that was encoded before.
func (e *encodingCache) encode(c route.Configuration) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && c.Version <= e.version {
		return e.data, nil
	}
	data, err := deflate(encodeConfiguration(c))
	if err != nil {
		return nil, err
	}
	e.version = c.Version
	e.data = data
	return data, nil
}

func deflate(c *schema.Configuration) ([]byte, error) {
	plain, err := proto.Marshal(c)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a configuration")
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compressing a configuration")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compressing a configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing a configuration")
	}
	return out.Bytes(), nil
}

// inflate is the inverse of deflate.
func inflate(data []byte) (*schema.Configuration, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(reader, maxConfiguration))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing a configuration")
	}
	c := &schema.Configuration{}
	if err := proto.Unmarshal(plain, c); err != nil {
		return nil, eris.Wrap(err, "decoding a configuration")
	}
	return c, nil
}
