package httpmessage

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// scanInPieces scans a text in pieces of the given size and returns what may be used of it.
func scanInPieces(text string, size int) (used int, err error) {
	var s HeadScanner
	s.Start()
	for rest := text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
		var n int
		n, err = s.Scan([]byte(rest[:min(size, len(rest))]))
		used += n
	}
	return used, err
}

func TestHeadScanner(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for before, malformed := range map[string]string{
		line + "A: b\r\n":                  " Content-Length: 3\r\n\r\nbody",
		line + "A: b\n":                    "\tC: d\n\nbody",
		line:                               " A: b\r\n\r\n",
		line + "A:\r\n":                    ": v\r\n\r\n",
		line + "A: b\r\nC: d\r\n":          " \r\n\r\n",
		hints + line + "A: b\r\n":          " C: d\r\n\r\n",
		"HTTP/1.1  103 x\r\nLink: x\r\n":   " y\r\n\r\n" + line + "\r\n",
		"HTTP/1.1  103 x\r\n\r\n" + line:   " A: b\r\n\r\n",
		strings.Repeat(hints, 20) + line:   " A: b\r\n\r\n",
		"HTTP/1.1 100\r\n\r\n" + line:      " A: b\r\n\r\n",
		line + strings.Repeat("A: b\n", 9): " C: d\r\n\r\n",
	} {
		Convey("The malformed line after "+before+" is found, however the bytes come", t, func() {
			for size := 1; size <= len(before)+len(malformed); size++ {
				used, err := scanInPieces(before+malformed, size)
				So(errors.As(err, new(*LineStartError)), ShouldBeTrue)
				So(used, ShouldEqual, len(before))
			}
		})
	}
	for _, text := range []string{
		line + "A: b\r\n\r\n body\r\n : x\r\n", line + "\r\n\r\n x", line + "A: b  c\r\nD:\te\r\n\r\n", hints + line + "\r\n x",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n x", "HTTP/1.1 204\n\n x", "no head\r\n\r\n x", "\r\n\r\n x", "",
	} {
		Convey("What follows the head of "+text+" is passed", t, func() {
			for size := 1; size <= len(text); size++ {
				used, err := scanInPieces(text, size)
				So(err, ShouldBeNil)
				So(used, ShouldEqual, len(text))
			}
		})
	}
	Convey("An error stays until the next start", t, func() {
		var s HeadScanner
		s.Start()
		_, err := s.Scan([]byte(line + " A: b"))
		So(err, ShouldNotBeNil)
		n, again := s.Scan([]byte("x"))
		So(n, ShouldEqual, 0)
		So(again, ShouldEqual, err)
		So(s.Err(), ShouldEqual, err)
		s.Start()
		_, err = s.Scan([]byte(line + "\r\n"))
		So(err, ShouldBeNil)
	})
}

// scannedReader scans what it reads.
type scannedReader struct {
	r io.Reader
	s HeadScanner
	// passed counts the bytes that were returned.
	passed int
}

func (r *scannedReader) Read(p []byte) (int, error) {
	if err := r.s.Err(); err != nil {
		return 0, err
	}
	n, err := r.r.Read(p)
	if used, scanErr := r.s.Scan(p[:n]); scanErr != nil {
		r.passed += used
		return used, scanErr
	}
	r.passed += n
	return n, err
}

// FuzzHeadScanner compares the scanner with net/http: where that reads a head, both see the
// same end of it, and no line that was taken begins with a blank.
func FuzzHeadScanner(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1  200 OK\n\n x", "HTTP/1.0 200 OK\r\n: v\r\n\r\n", "HTTP/1.1 100 \r\n \r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := &scannedReader{r: strings.NewReader(text)}
		r.s.Start()
		br := bufio.NewReader(r)
		for {
			before := r.passed - br.Buffered()
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			head := text[before : r.passed-br.Buffered()]
			if strings.Contains(head, "\n ") || strings.Contains(head, "\n\t") || strings.Contains(head, "\n:") {
				t.Fatalf("head %q was taken", head)
			}
			if resp.StatusCode < 100 || resp.StatusCode > 199 || resp.StatusCode == http.StatusSwitchingProtocols {
				if r.s.inHead {
					t.Fatalf("the scanner did not see the end of head %q", head)
				}
				return
			}
		}
	})
}

func BenchmarkHeadScanner(b *testing.B) {
	const line = "X-Some-Header: some value of usual length\r\n"
	for name, lines := range map[string]int{"0.5KB": 11, "16KB": 372} {
		head := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat(line, lines) + "\r\n")
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var s HeadScanner
				s.Start()
				if _, err := s.Scan(head); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
