package httpmessage

import (
	"bytes"
	"strconv"
)

// LineStartError says that a line of a head begins with a character that begins no field name.
type LineStartError struct {
	// Start is the character: a blank or tab, which folds the line into the one before it, or
	// a colon, which leaves it without a name.
	Start byte
}

// Error implements error.
func (e *LineStartError) Error() string {
	return "header line begins with " + strconv.QuoteRune(rune(e.Start))
}

// maxStatusBytes is the part of a status line in which the status is looked for, in bytes.
const maxStatusBytes = 32

// HeadScanner finds malformed lines in the heads of responses while they are read. net/http
// joins a line that begins with a blank to the value before it, and drops one that begins with
// a colon, so that what it returns does not show them. The first of them may be a field whose
// name was damaged, also one that frames the body. RFC 9112, 5.2, lets a proxy discard such a
// response.
//
// It scans from Start to the end of the first head that is not informational, and passes what
// follows. The zero value passes all bytes.
type HeadScanner struct {
	inHead, inStatus bool
	// lineBytes is the length of the current line so far, last its last byte.
	lineBytes     int
	last          byte
	status        [maxStatusBytes]byte
	statusBytes   int
	informational bool
	err           error
}

// Start begins a head at the next byte.
func (s *HeadScanner) Start() { *s = HeadScanner{inHead: true, inStatus: true} }

// Err returns the *LineStartError of a malformed line that was found since Start. A reader
// returns it before it reads on: net/http drops an error that comes where a folded line may
// begin, and reads again.
func (s *HeadScanner) Err() error { return s.err }

// Scan scans the next bytes of the connection. It returns how many of them come before the
// first malformed line, and a *LineStartError if there is one, also for all later bytes.
func (s *HeadScanner) Scan(b []byte) (n int, err error) {
	if s.err != nil {
		return 0, s.err
	}
	for n < len(b) && s.inHead {
		if s.lineBytes == 0 && !s.inStatus && isNoNameStart(b[n]) {
			s.err = &LineStartError{Start: b[n]}
			return n, s.err
		}
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			s.addToLine(b[n:])
			break
		}
		s.addToLine(b[n : n+end])
		s.endLine()
		n += end + 1
	}
	return len(b), nil
}

func isNoNameStart(c byte) bool { return c == ' ' || c == '\t' || c == ':' }

func (s *HeadScanner) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.inStatus {
		s.statusBytes += copy(s.status[s.statusBytes:], part)
	}
	s.lineBytes += len(part)
	s.last = part[len(part)-1]
}

// endLine notes what the line that ends says of the head.
func (s *HeadScanner) endLine() {
	empty := s.lineBytes == 0 || s.lineBytes == 1 && s.last == '\r'
	s.lineBytes = 0
	switch {
	case s.inStatus:
		s.inStatus, s.informational = false, isInformational(s.status[:s.statusBytes])
	case empty && s.informational:
		s.Start()
	case empty:
		s.inHead = false
	}
}

// isInformational reports whether a status line is that of a response that another one follows.
// net/http allows several blanks before the status.
func isInformational(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
