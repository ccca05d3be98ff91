package peer

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"
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

// Stream reads and writes consecutive JSON messages. It rejects received messages
// longer than MaxMessageBytes.
type Stream struct {
	conn    io.ReadWriteCloser
	limited *io.LimitedReader
	decoder *json.Decoder

	mu      sync.Mutex
	encoder *json.Encoder
}

// NewStream returns a stream of messages on a connection. It reads at most
// MaxMessageBytes from the connection for one message.
func NewStream(conn io.ReadWriteCloser) *Stream {
	limited := &io.LimitedReader{R: conn}
	return &Stream{conn: conn, limited: limited, decoder: json.NewDecoder(limited), encoder: json.NewEncoder(conn)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *Stream) ReadObject(v any) error {
	s.limited.N = MaxMessageBytes
	err := s.decoder.Decode(v)
	if err != nil && s.limited.N <= 0 {
		return errors.Join(&MessageTooLargeError{}, err)
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *Stream) WriteObject(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encoder.Encode(v)
}

// WriteEncoded writes a message that is encoded already, for messages to many peers.
func (s *Stream) WriteEncoded(message []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.conn.Write(message)
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *Stream) Close() error { return s.conn.Close() }
