// Package httpmessage finds what net/http's reader of HTTP/1 responses lets pass although it
// makes a message malformed (RFC 9112). It does no I/O of its own.
package httpmessage

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes bounds what an error quotes of a message.
const maxQuotedBytes = 64

// FieldNameError says that a header or trailer line has a name that is not a token (RFC 9110,
// 5.1), such as one with a blank before the colon. net/http does not act on such a line: the
// body of a response whose line "Content-Length : 5" it leaves out has another end.
type FieldNameError struct {
	// Name is the invalid name.
	Name string
}

// Error implements error.
func (e *FieldNameError) Error() string {
	return "field name " + strconv.Quote(e.Name[:min(len(e.Name), maxQuotedBytes)]) + " is not a token"
}

// CheckFieldNames returns a *FieldNameError for a name that is not a token.
func CheckFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// CheckResponse checks the names of a response's headers. Those of its trailers are checked
// when its body has been read: it then ends with a *FieldNameError in place of io.EOF. A
// response that fails may have another body than net/http sees, so that nothing more may be
// read from its connection.
func CheckResponse(resp *http.Response) error {
	if err := CheckFieldNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{resp.Body, resp}
	}
	return nil
}

// trailerChecker is a body in chunks whose trailers are checked at its end.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if nameErr := CheckFieldNames(c.resp.Trailer); nameErr != nil {
			err = nameErr
		}
	}
	return n, err
}
