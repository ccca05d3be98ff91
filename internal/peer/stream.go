package peer

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessage bounds one message in bytes: a read of the store's log brings 1 MiB at
// most, which grows by a third in base64, beside names and offsets.
const MaxMessage = 4 << 20

// TooLongError says that a message is over MaxMessage.
type TooLongError struct{}

// Error implements error.
func (*TooLongError) Error() string {
	return "message over " + strconv.Itoa(MaxMessage) + " bytes"
}

// stream reads and writes JSON messages behind each other, none longer than
// MaxMessage.
type stream struct {
	conn    io.ReadWriteCloser
	limited *io.LimitedReader
	decoder *json.Decoder

	mu      sync.Mutex
	encoder *json.Encoder
}

// NewStream returns a stream of messages on a connection. Each message is read into
// memory of MaxMessage at most.
func NewStream(conn io.ReadWriteCloser) jsonrpc2.ObjectStream {
	limited := &io.LimitedReader{R: conn}
	return &stream{conn: conn, limited: limited, decoder: json.NewDecoder(limited), encoder: json.NewEncoder(conn)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.limited.N = MaxMessage
	err := s.decoder.Decode(v)
	if err != nil && s.limited.N <= 0 {
		return errors.Join(&TooLongError{}, err)
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
