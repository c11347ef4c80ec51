package deployment

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"nutmeglock.example/nutmeglock/route"
)

// deflateEncoding is the name of the encoding of a message compressed with DEFLATE.
const deflateEncoding = "deflate"

// maxMessageBytes bounds the decompressed size of a message from another router.
const maxMessageBytes = 32 << 20

// encodingCache holds the latest configuration encoded for other routers. Its zero value is
// empty. It is safe for concurrent use.
//
// In a large fleet, most routers request a new configuration from the same few at the same
// moment. Encoding it for each request would cost these few seconds of processor time.
type encodingCache struct {
	mu      sync.Mutex
	encoded route.Configuration
	data    []byte
}

// encode returns a compressed configuration: the given one, or a newer one encoded before.
func (e *encodingCache) encode(c route.Configuration) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && !c.IsNewerThan(&e.encoded) {
		return e.data, nil
	}
	data, err := deflate(encodeConfiguration(c))
	if err != nil {
		return nil, err
	}
	e.encoded = c
	e.data = data
	return data, nil
}

func deflate(message proto.Message) ([]byte, error) {
	plain, err := proto.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "encoding a message")
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compressing a message")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compressing a message")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing a message")
	}
	return out.Bytes(), nil
}

// inflate decodes what deflate has returned into a message.
func inflate(data []byte, message proto.Message) error {
	reader := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(reader, maxMessageBytes))
	if err != nil {
		return eris.Wrap(err, "decompressing a message")
	}
	return eris.Wrap(proto.Unmarshal(plain, message), "decoding a message")
}
