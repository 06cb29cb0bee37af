package admin

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"
	"unicode"

	"github.com/go-json-experiment/json/jsontext"
)

// secretWords are the words in a JSON member's name that mark its strings as secrets
// or as content of a caller.
var secretWords = map[string]bool{
	"token": true, "tokens": true, "key": true, "keys": true, "secret": true, "secrets": true,
	"password": true, "passwords": true, "authorization": true, "bearer": true, "credential": true, "credentials": true,
	"prompt": true, "body": true, "emitted": true,
	"head": true, // the start of a truncated section: incomplete JSON, which can't be masked by names
}

// minSecretBytes is the minimum length of a secret that is also replaced where it does
// not stand under a secret name: replacing every "a" would make the bundle unreadable.
const minSecretBytes = 6

// masker replaces secrets. A masked value becomes `masked-` and a tag. Equal values
// in one bundle have equal tags, which reveal nothing else: a tag is a MAC with a
// random key that is discarded with the masker.
//
// Failure guarded against: a bundle is sent to a vendor, often by mail, and a token
// in it would give access to the site. Names alone don't find a value that was
// logged under another name, so each secret found by its name, and each given one,
// is also replaced wherever else it appears.
//
// The files of each process are masked by a child, which is discarded with the
// secrets that it found: they differ between processes, and keeping all of them would
// take memory in proportion to the site.
type masker struct {
	parent       *masker
	salt         [sha256.Size]byte
	replacements map[string]string // value to replacement
	replacer     *strings.Replacer // of replacements; nil: to be built
}

func newMasker(secrets ...string) *masker {
	m := &masker{replacements: map[string]string{}}
	_, _ = rand.Read(m.salt[:])
	for _, secret := range secrets {
		m.addSecret(secret)
	}
	return m
}

func (m *masker) child() *masker {
	return &masker{parent: m, salt: m.salt, replacements: map[string]string{}}
}

const (
	maskPrefix   = "masked-"
	maskTagBytes = 4 // of the MAC; written as 8 hexadecimal digits
)

// addSecret records a secret and returns its replacement.
func (m *masker) addSecret(value string) string {
	if strings.HasPrefix(value, maskPrefix) {
		return value
	}
	mac := hmac.New(sha256.New, m.salt[:])
	mac.Write([]byte(value))
	masked := maskPrefix + hex.EncodeToString(mac.Sum(nil)[:maskTagBytes])
	if _, ok := m.replacements[value]; !ok && len(value) >= minSecretBytes {
		m.replacements[value] = masked
		m.replacer = nil
	}
	return masked
}

// maskText replaces the known secrets in a text of any format.
func (m *masker) maskText(raw []byte) []byte {
	if m.parent != nil {
		raw = m.parent.maskText(raw)
	}
	if len(m.replacements) == 0 {
		return raw
	}
	if m.replacer == nil {
		m.replacer = newReplacer(m.replacements)
	}
	return []byte(m.replacer.Replace(string(raw)))
}

// newReplacer replaces each value both verbatim and as escaped in a JSON string, the
// longest first, so that a secret that contains another one is replaced entirely.
func newReplacer(replacements map[string]string) *strings.Replacer {
	secrets := make([]string, 0, len(replacements))
	for secret := range replacements {
		secrets = append(secrets, secret)
	}
	sort.Slice(secrets, func(i, j int) bool { return len(secrets[i]) > len(secrets[j]) })
	pairs := make([]string, 0, 4*len(secrets))
	for _, secret := range secrets {
		pairs = append(pairs, secret, replacements[secret], escapedJSON(secret), replacements[secret])
	}
	return strings.NewReplacer(pairs...)
}

// escapedJSON returns the value as it is escaped in a JSON string.
func escapedJSON(value string) string {
	quoted, _ := json.Marshal(value) // a string always encodes
	return string(quoted[1 : len(quoted)-1])
}

// notJSON replaces a document that can't be masked by names.
const notJSON = `{"left_out": "not valid JSON, so its secrets can't be found"}`

// maskJSON masks a JSON document and keeps its layout. A document that can't be
// parsed, such as a truncated dump, is replaced by notJSON. The document is processed
// token by token: the tree of a configuration of 48,000 organisations would take
// 100 MB.
func (m *masker) maskJSON(raw []byte) []byte {
	out := bytes.NewBuffer(make([]byte, 0, len(raw)))
	dec := jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	tracker := secretTracker{}
	copied, end := 0, 0
	for {
		token, err := dec.ReadToken()
		if err == io.EOF && end > 0 {
			out.Write(raw[copied:])
			return m.maskText(out.Bytes())
		}
		if err != nil {
			return []byte(notJSON)
		}
		start := tokenStart(raw, end)
		end = int(dec.InputOffset())
		if !tracker.isSecret(dec, token) {
			continue
		}
		out.Write(raw[copied:start])
		out.WriteString(strconv.Quote(m.addSecret(token.String())))
		copied = end
	}
}

// tokenStart returns the start of the token after the one that ends at end.
func tokenStart(raw []byte, end int) int {
	for end < len(raw) && strings.IndexByte(" \t\r\n,:", raw[end]) >= 0 {
		end++
	}
	return end
}

// secretTracker follows the tokens of a document and determines which strings are
// secret: those under a secret name, at any depth.
type secretTracker struct {
	afterSecretName bool // the preceding token is a secret name
	depth           int  // of the outermost object or array under a secret name; 0: none
}

// isSecret reports whether the token is a secret string.
func (t *secretTracker) isSecret(dec *jsontext.Decoder, token jsontext.Token) bool {
	named := t.afterSecretName
	t.afterSecretName = false
	switch token.Kind() {
	case '{', '[':
		if named && t.depth == 0 {
			t.depth = dec.StackDepth()
		}
	case '}', ']':
		if dec.StackDepth() < t.depth {
			t.depth = 0
		}
	case '"':
		if isName(dec) {
			t.afterSecretName = isSecretName(token.String())
			return false
		}
		return (named || t.depth > 0) && token.String() != ""
	}
	return false
}

// isName reports whether the last string read is the name of an object member.
func isName(dec *jsontext.Decoder) bool {
	kind, length := dec.StackIndex(dec.StackDepth())
	return kind == '{' && length%2 == 1
}

// isSecretName reports whether a word of a name such as admin_token or adminToken is
// a secret word.
func isSecretName(name string) bool {
	words := strings.FieldsFunc(splitCamel(name), func(r rune) bool { return !unicode.IsLetter(r) })
	for _, word := range words {
		if secretWords[strings.ToLower(word)] {
			return true
		}
	}
	return false
}

// splitCamel inserts a space before each upper-case letter that follows a lower-case
// one.
func splitCamel(name string) string {
	var out strings.Builder
	previous := rune(0)
	for _, r := range name {
		if unicode.IsUpper(r) && unicode.IsLower(previous) {
			out.WriteByte(' ')
		}
		out.WriteRune(r)
		previous = r
	}
	return out.String()
}
