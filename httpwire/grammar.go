package httpwire

import (
	"bytes"
	"strconv"
)

// statusLine is a parsed status-line (RFC 9112, section 4).
type statusLine struct {
	minor  byte // of the version 1.x
	status int
}

const (
	statusLineVersion = "HTTP/1."
	// statusLineMinimum is the length of a status-line without a reason, whose separating space
	// is not optional.
	statusLineMinimum = len("HTTP/1.1 200 ")
	minStatus         = 100
	maxStatus         = 599 // what is greater is invalid (RFC 9110, section 15)
)

// parseStatusLine parses a status-line without its end of line.
func parseStatusLine(line []byte) (statusLine, bool) {
	if len(line) < statusLineMinimum || string(line[:len(statusLineVersion)]) != statusLineVersion {
		return statusLine{}, false
	}
	rest := line[len(statusLineVersion):]
	minor, code, reason := rest[0], rest[2:5], rest[6:]
	status, ok := parseDigits(code)
	if !isDigit(minor) || rest[1] != ' ' || !ok || status < minStatus || status > maxStatus || rest[5] != ' ' || !isText(reason) {
		return statusLine{}, false
	}
	return statusLine{minor: minor - '0', status: int(status)}, true
}

// parseField parses a field-line without its end of line (RFC 9112, section 5). A folded line is
// none: a gateway may refuse it (section 5.2).
func parseField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) || !isText(value) {
		return nil, nil, false
	}
	return name, bytes.Trim(value, " \t"), true
}

// parseDigits parses 1*DIGIT.
func parseDigits(text []byte) (int64, bool) {
	for _, c := range text {
		if !isDigit(c) {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	return n, err == nil
}

// maxChunkDigits keeps a chunk-size within 63 bits.
const maxChunkDigits = 15

// parseChunkLine parses chunk-size [ chunk-ext ] without its end of line (RFC 9112, section 7.1).
func parseChunkLine(line []byte) (size int64, ok bool) {
	digits := 0
	for digits < len(line) && isHexDigit(line[digits]) {
		digits++
	}
	if digits == 0 || digits > maxChunkDigits || !isChunkExtension(line[digits:]) {
		return 0, false
	}
	size, err := strconv.ParseInt(string(line[:digits]), 16, 64)
	return size, err == nil
}

// isChunkExtension reports whether a text is *( BWS ";" BWS chunk-ext-name [ BWS "=" BWS
// chunk-ext-val ] ).
func isChunkExtension(text []byte) bool {
	for len(text) > 0 {
		text = trimBlanks(text)
		if len(text) == 0 || text[0] != ';' {
			return false
		}
		var name []byte
		name, text = cutToken(trimBlanks(text[1:]))
		if len(name) == 0 {
			return false
		}
		if value := trimBlanks(text); len(value) > 0 && value[0] == '=' {
			var ok bool
			if text, ok = cutExtensionValue(trimBlanks(value[1:])); !ok {
				return false
			}
		}
	}
	return true
}

// cutExtensionValue cuts a token or a quoted-string off a text.
func cutExtensionValue(text []byte) (rest []byte, ok bool) {
	if len(text) == 0 || text[0] != '"' {
		value, rest := cutToken(text)
		return rest, len(value) > 0
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return text[i+1:], true
		case text[i] == '\\':
			i++
			if i == len(text) || !isTextByte(text[i]) {
				return nil, false
			}
		case !isTextByte(text[i]):
			return nil, false
		}
	}
	return nil, false
}

func cutToken(text []byte) (token, rest []byte) {
	i := 0
	for i < len(text) && isTokenByte(text[i]) {
		i++
	}
	return text[:i], text[i:]
}

func trimBlanks(text []byte) []byte { return bytes.TrimLeft(text, " \t") }

func isToken(text []byte) bool {
	token, rest := cutToken(text)
	return len(token) > 0 && len(rest) == 0
}

func isText(text []byte) bool {
	for _, c := range text {
		if !isTextByte(c) {
			return false
		}
	}
	return true
}

// isTextByte reports whether a byte may stand in a field-value, a reason-phrase or a
// quoted-string: HTAB, SP, VCHAR or obs-text.
func isTextByte(c byte) bool { return c == '\t' || (c >= ' ' && c != 0x7f) }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isHexDigit(c byte) bool { return isDigit(c) || (c|0x20 >= 'a' && c|0x20 <= 'f') }

// isTokenByte reports whether a byte is a tchar (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	return isDigit(c) || (c|0x20 >= 'a' && c|0x20 <= 'z') || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}
