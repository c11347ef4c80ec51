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

// deflateEncoding is the name of the encoding of a schema.Configuration compressed with DEFLATE.
const deflateEncoding = "deflate"

// maxConfigurationBytes bounds the decompressed size of a configuration from another router.
const maxConfigurationBytes = 32 << 20

// encodingCache holds the latest configuration encoded for other routers. Its zero value is
// empty. It is safe for concurrent use.
//
// In a large fleet, most routers request a new configuration from the same few at the same
// moment. Encoding it for each request would cost these few seconds of processor time.
type encodingCache struct {
	mu      sync.Mutex
	version fleet.Version
	data    []byte
}

// encode returns a compressed configuration: the given one, or a newer one encoded before.
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
	plain, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes))
	if err != nil {
		return nil, eris.Wrap(err, "decompressing a configuration")
	}
	c := &schema.Configuration{}
	if err := proto.Unmarshal(plain, c); err != nil {
		return nil, eris.Wrap(err, "decoding a configuration")
	}
	return c, nil
}
