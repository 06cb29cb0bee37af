package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const ok200 = "HTTP/1.1 200 OK\r\n"

// refused are responses that the grammar of RFC 9112 or a rule of it on framing does not allow, by
// the section.
var refused = map[string][]string{
	"4 status line": {
		"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 001 Odd\r\n\r\n", "HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 600 Odd\r\n\r\n", "HTTP/1.1 999 Odd\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 200OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n",
		"HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1\t200 OK\r\n\r\n", " HTTP/1.1 200 OK\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n",
	},
	"2.3 version":     {"HTTP/2.0 200 OK\r\n\r\n", "HTTP/0.9 200 OK\r\n\r\n", "HTTP/1 200 OK\r\n\r\n", "HTTP/1.10 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "HTTP/11 200 OK\r\n\r\n", "ICY 200 OK\r\n\r\n"},
	"2.2 before it":   {ok200 + " X: 1\r\n\r\n", ok200 + "\tX: 1\r\n\r\n"},
	"5.1 field name":  {ok200 + "X Y: 1\r\n\r\n", ok200 + "X\tY: 1\r\n\r\n", ok200 + "X\x01: 1\r\n\r\n", ok200 + "X\x7f: 1\r\n\r\n", ok200 + "X\x80: 1\r\n\r\n", ok200 + ": 1\r\n\r\n", ok200 + "X(: 1\r\n\r\n", ok200 + "X\r\n\r\n", ok200 + "X : 1\r\n\r\n", ok200 + "X\t: 1\r\n\r\n"},
	"5.1 framing":     {ok200 + "Content-Length : 2\r\n\r\nabcd", ok200 + "Transfer-Encoding : chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", ok200 + "Content Length: 2\r\n\r\nab", ok200 + " Content-Length: 2\r\n\r\nab"},
	"5.5 field value": {ok200 + "X: \x00\r\n\r\n", ok200 + "X: a\x1bb\r\n\r\n", ok200 + "X: a\rb\r\n\r\n", ok200 + "X: \x7f\r\n\r\n"},
	"5.2 folded line": {ok200 + "X: 1\r\n 2\r\n\r\n", ok200 + "Content-Length:\r\n 2\r\n\r\nab"},
	"6.1 transfer coding": {
		ok200 + "Transfer-Encoding: gzip\r\n\r\n", ok200 + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", ok200 + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		ok200 + "Transfer-Encoding: identity\r\n\r\n", ok200 + "Transfer-Encoding: chunked;q=1\r\n\r\n0\r\n\r\n", ok200 + "Transfer-Encoding:\r\n\r\n",
		ok200 + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ok200 + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		ok200 + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + ok200 + "\r\n",
	},
	"6.2 length": {
		ok200 + "Content-Length: +2\r\n\r\nab", ok200 + "Content-Length: -2\r\n\r\nab", ok200 + "Content-Length: 0x2\r\n\r\nab", ok200 + "Content-Length: 2, 2\r\n\r\nab", ok200 + "Content-Length: 2 2\r\n\r\nab",
		ok200 + "Content-Length:\r\n\r\n", ok200 + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", ok200 + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", ok200 + "Content-Length: 99999999999999999999\r\n\r\nab",
	},
	"15.2.2 protocols": {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
	"informational":    {"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n" + ok200 + "\r\n", "HTTP/1.1 099 Odd\r\n\r\n" + ok200 + "\r\n"},
	"7.1 chunks":       chunked("\r\na\r\n0\r\n\r\n", " 1\r\na\r\n0\r\n\r\n", "1 \r\na\r\n0\r\n\r\n", "0x1\r\na\r\n0\r\n\r\n", "+1\r\na\r\n0\r\n\r\n", "-1\r\na\r\n0\r\n\r\n", "g\r\na\r\n0\r\n\r\n", "1\na\r\n0\r\n\r\n", "1\r\na\n0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n", "1\r\na0\r\n\r\n", "ffffffffffffffff\r\na", "1\r\r\na\r\n0\r\n\r\n"),
	"7.1.1 extensions": chunked("1;\r\na\r\n0\r\n\r\n", "1;=x\r\na\r\n0\r\n\r\n", "1;a=\r\na\r\n0\r\n\r\n", "1;a=\"\r\na\r\n0\r\n\r\n", "1;a\x01\r\na\r\n0\r\n\r\n", "1;a=\"\x01\"\r\na\r\n0\r\n\r\n", "1 a\r\na\r\n0\r\n\r\n"),
	"7.1.2 trailer":    chunked("0\r\nX Y: 1\r\n\r\n", "0\r\nX\x01: 1\r\n\r\n", "0\r\nX: \x01\r\n\r\n", "0\r\nX\r\n\r\n", "0\r\nX : 1\r\n\r\n", "0\r\n X: 1\r\n\r\n", "0\r\nX: 1\r\n 2\r\n\r\n"),
}

func chunked(bodies ...string) []string {
	var all []string
	for _, b := range bodies {
		all = append(all, ok200+"Transfer-Encoding: chunked\r\n\r\n"+b)
	}
	return all
}

// accepted are responses that the grammar allows, by their body.
var accepted = map[string][]string{
	"": {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not\r\nContent-Length: 5\r\n\r\n", ok200 + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", ok200 + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	"ab": {
		ok200 + "Content-Length: 2\r\n\r\nab", ok200 + "Content-Length:2\r\n\r\nab", ok200 + "content-length:\t 02 \r\n\r\nab", "HTTP/1.0 200 OK\r\n\r\nab", "HTTP/1.1 200 K\xe4se\t\r\nX: \xe4\t,\"\\\r\nX:\r\n\r\nab",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + ok200 + "Content-Length: 2\r\n\r\nab", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
		ok200 + "!#$%&'*+-.^_`|~09aZ: 1\r\n\r\nab", ok200 + "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", ok200 + "Transfer-Encoding: chunked\r\n\r\n01;x;y=z;q=\"a\\\"b\"\r\na\r\n1\r\nb\r\n000\r\nX: 1\r\nY:\r\n\r\n",
	},
}

// readResponse reads a final response with net/http from a connection that sends raw and ends.
func readResponse(raw string, oneByOne bool) ([]byte, error) {
	var from io.Reader = strings.NewReader(raw)
	if oneByOne {
		from = iotest.OneByteReader(from)
	}
	in := bufio.NewReader(&scanningReader{from: from})
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return io.ReadAll(resp.Body)
		}
	}
}

// scanningReader fails at what a Scanner does not accept.
type scanningReader struct {
	from    io.Reader
	scanner Scanner
	err     error
}

func (r *scanningReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(p)
	valid, syntaxErr := r.scanner.Scan(p[:n])
	if r.err = syntaxErr; syntaxErr != nil {
		return valid, syntaxErr
	}
	return n, err
}

// Guards against bytes that are no response and reach a caller as one.
func TestResponsesOutsideTheGrammarAreRefused(t *testing.T) {
	for section, forms := range refused {
		for _, raw := range forms {
			t.Run(section+" "+strconv.Quote(raw), func(t *testing.T) {
				g := gomega.NewWithT(t)
				_, err := new(Scanner).Scan([]byte(raw))
				g.Expect(errors.Is(err, ErrSyntax)).To(gomega.BeTrue(), "%v", err)
				for _, oneByOne := range []bool{false, true} {
					body, err := readResponse(raw, oneByOne)
					g.Expect(err).To(gomega.HaveOccurred(), "body %q", body)
				}
			})
		}
	}
}

func TestResponsesOfTheGrammarAreAccepted(t *testing.T) {
	for body, forms := range accepted {
		for _, raw := range forms {
			t.Run(strconv.Quote(raw), func(t *testing.T) {
				for _, oneByOne := range []bool{false, true} {
					got, err := readResponse(raw, oneByOne)
					gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
					gomega.NewWithT(t).Expect(string(got)).To(gomega.Equal(body))
				}
			})
		}
	}
}

// The grammar of RFC 9112 as expressions, written apart from the scanner.
var (
	tokenExpr     = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	textExpr      = `[\t\x20-\x7e\x80-\xff]*`
	statusExpr    = regexp.MustCompile(`(?s)\A(?:HTTP/1\.([0-9]) ([1-5][0-9][0-9]) ` + textExpr + `\r?\n)`)
	fieldExpr     = regexp.MustCompile(`(?s)\A(` + tokenExpr + `):(` + textExpr + `)\r?\n`)
	quotedExpr    = `"([\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"`
	extensionExpr = `([ \t]*;[ \t]*` + tokenExpr + `([ \t]*=[ \t]*(` + tokenExpr + `|` + quotedExpr + `))?)*`
	chunkExpr     = regexp.MustCompile(`(?s)\A([0-9A-Fa-f]{1,15})` + extensionExpr + `\r\n`)
)

// latin1 maps each byte to the rune of its number, so that expressions match single bytes.
func latin1(raw []byte) string {
	runes := make([]rune, len(raw))
	for i, c := range raw {
		runes[i] = rune(c)
	}
	return string(runes)
}

// reference frames the first final response in a text of latin1. ok is false if the grammar refuses
// it or if it isn't whole; ended tells that its body lasts to the end of the connection.
func reference(text string) (body string, ok, ended bool) {
	for {
		status := statusExpr.FindStringSubmatch(text)
		if status == nil {
			return "", false, false
		}
		rest, fields, ok := referenceFields(text[len(status[0]):])
		if !ok {
			return "", false, false
		}
		lengths, codings := fields["content-length"], fields["transfer-encoding"]
		code, _ := strconv.Atoi(status[2])
		hasCoding := len(codings) > 0
		if code == 101 || len(lengths) > 1 || len(codings) > 1 || hasCoding && (!strings.EqualFold(codings[0], "chunked") || len(lengths) > 0 || status[1] == "0" || code < 200 || code == 204) {
			return "", false, false
		}
		length := -1
		if len(lengths) == 1 {
			if !regexp.MustCompile(`\A[0-9]{1,9}\z`).MatchString(lengths[0]) {
				return "", false, false
			}
			length, _ = strconv.Atoi(lengths[0])
		}
		switch {
		case code < 200:
			text = rest
		case code == 204 || code == 304:
			return "", true, false
		case hasCoding:
			return referenceChunks(rest)
		case length < 0:
			return rest, true, true
		case length > len([]rune(rest)):
			return "", false, false
		default:
			return string([]rune(rest)[:length]), true, false
		}
	}
}

func referenceFields(text string) (rest string, fields map[string][]string, ok bool) {
	fields = map[string][]string{}
	for {
		if after, found := strings.CutPrefix(text, "\r\n"); found {
			return after, fields, true
		}
		if after, found := strings.CutPrefix(text, "\n"); found {
			return after, fields, true
		}
		field := fieldExpr.FindStringSubmatch(text)
		if field == nil {
			return "", nil, false
		}
		name := strings.ToLower(field[1])
		fields[name] = append(fields[name], strings.Trim(field[2], " \t"))
		text = text[len(field[0]):]
	}
}

func referenceChunks(text string) (body string, ok, ended bool) {
	for {
		chunk := chunkExpr.FindStringSubmatch(text)
		if chunk == nil {
			return "", false, false
		}
		size, _ := strconv.ParseInt(chunk[1], 16, 64)
		runes := []rune(text[len(chunk[0]):])
		if size == 0 {
			_, _, ok := referenceFields(string(runes))
			return body, ok, false
		}
		if int64(len(runes)) < size+2 || string(runes[size:size+2]) != "\r\n" {
			return "", false, false
		}
		body += string(runes[:size])
		text = string(runes[size+2:])
	}
}

// Guards against a head that the grammar refuses and a caller gets, and against a body that isn't
// the one that the grammar frames.
func FuzzResponse(f *testing.F) {
	for _, forms := range refused {
		for _, raw := range forms {
			f.Add([]byte(raw))
		}
	}
	for _, forms := range accepted {
		for _, raw := range forms {
			f.Add([]byte(raw))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := readResponse(string(raw), false)
		byOne, errByOne := readResponse(string(raw), true)
		if (err == nil) != (errByOne == nil) || !bytes.Equal(got, byOne) {
			t.Fatalf("%q: %q, %v at once; %q, %v in bytes", raw, got, err, byOne, errByOne)
		}
		want, ok, _ := reference(latin1(raw))
		if err == nil && !ok {
			t.Fatalf("%q is refused by the grammar and taken, body %q", raw, got)
		}
		if err == nil && latin1(got) != want {
			t.Fatalf("%q has the body %q, taken as %q", raw, want, got)
		}
	})
}
