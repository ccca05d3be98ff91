package peer

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes limits one message: a read of the store's log returns 1 MiB at
// most, which grows by a third in base64, besides names and offsets.
const MaxMessageBytes = 4 << 20

// MessageTooLargeError reports a message that exceeds MaxMessageBytes.
type MessageTooLargeError struct{}

// Error implements error.
func (*MessageTooLargeError) Error() string {
	return "message exceeds " + strconv.Itoa(MaxMessageBytes) + " bytes"
}

// stream reads and writes consecutive JSON messages. It rejects received messages
// longer than MaxMessageBytes.
type stream struct {
	conn    io.ReadWriteCloser
	limited *io.LimitedReader
	decoder *json.Decoder

	mu      sync.Mutex
	encoder *json.Encoder
}

// NewStream returns a stream of messages on a connection. It reads at most
// MaxMessageBytes from the connection for one message.
func NewStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	limited := &io.LimitedReader{R: conn}
	return &stream{conn: conn, limited: limited, decoder: json.NewDecoder(limited), encoder: json.NewEncoder(conn)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.limited.N = MaxMessageBytes
	err := s.decoder.Decode(v)
	if err != nil && s.limited.N <= 0 {
		return errors.Join(&MessageTooLargeError{}, err)
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encoder.Encode(v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
