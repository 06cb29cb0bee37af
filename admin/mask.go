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

// secretWords are the words in a JSON member's name that make its strings a
// secret or a caller's own content.
var secretWords = map[string]bool{
	"token": true, "tokens": true, "key": true, "keys": true, "secret": true, "secrets": true,
	"password": true, "passwords": true, "authorization": true, "bearer": true, "credential": true, "credentials": true,
	"prompt": true, "body": true, "emitted": true,
	"head": true, // of a section that was cut: JSON without an end, whose names can't be read
}

// minSecretBytes is the shortest value that is searched for outside its own
// place: replacing every "a" would leave nothing to read.
const minSecretBytes = 6

// masker replaces secrets. A masked value shows as `masked-` and a tag that is
// the same for equal values of one bundle and tells nothing else: it is keyed
// by a random number that is thrown away with the masker.
//
// Failure guarded against: a bundle goes to a vendor, by mail as likely as not,
// and a token in it opens the site. Names alone don't catch a value that was
// logged under another name, so each secret met under its name, and each one
// given, is also replaced wherever else its text stands.
//
// A process's own dump is masked by a child, whose finds are thrown away with
// it: keys differ from process to process, and all of them together would grow
// with the site.
type masker struct {
	parent   *masker
	salt     [sha256.Size]byte
	known    map[string]string // value to replacement
	replacer *strings.Replacer // of known; nil: to be built
}

func newMasker(secrets ...string) *masker {
	m := &masker{known: map[string]string{}}
	_, _ = rand.Read(m.salt[:])
	for _, secret := range secrets {
		m.learn(secret)
	}
	return m
}

func (m *masker) child() *masker {
	return &masker{parent: m, salt: m.salt, known: map[string]string{}}
}

const (
	maskPrefix   = "masked-"
	maskTagBytes = 4
)

// learn notes a secret and returns what stands in its place.
func (m *masker) learn(value string) string {
	if strings.HasPrefix(value, maskPrefix) {
		return value
	}
	mac := hmac.New(sha256.New, m.salt[:])
	mac.Write([]byte(value))
	masked := maskPrefix + hex.EncodeToString(mac.Sum(nil)[:maskTagBytes])
	if _, ok := m.known[value]; !ok && len(value) >= minSecretBytes {
		m.known[value] = masked
		m.replacer = nil
	}
	return masked
}

// plain replaces the known secrets in a text of any form.
func (m *masker) plain(raw []byte) []byte {
	if m.parent != nil {
		raw = m.parent.plain(raw)
	}
	if len(m.known) == 0 {
		return raw
	}
	if m.replacer == nil {
		m.replacer = newReplacer(m.known)
	}
	return []byte(m.replacer.Replace(string(raw)))
}

// newReplacer replaces each value as it is and as it stands inside a JSON
// string; the longest first, so that a secret which contains another is replaced
// whole.
func newReplacer(known map[string]string) *strings.Replacer {
	secrets := make([]string, 0, len(known))
	for secret := range known {
		secrets = append(secrets, secret)
	}
	sort.Slice(secrets, func(i, j int) bool { return len(secrets[i]) > len(secrets[j]) })
	pairs := make([]string, 0, 4*len(secrets))
	for _, secret := range secrets {
		pairs = append(pairs, secret, known[secret], escapedJSON(secret), known[secret])
	}
	return strings.NewReplacer(pairs...)
}

// escapedJSON returns the value as it stands inside a JSON string.
func escapedJSON(value string) string {
	quoted, _ := json.Marshal(value) // a string always encodes
	return string(quoted[1 : len(quoted)-1])
}

// notJSON stands in place of what can't be masked by names.
const notJSON = `{"left_out": "not valid JSON, so its secrets can't be found"}`

// json masks a JSON document and keeps its layout. What doesn't parse, such as a
// dump that was cut, is not passed on. It goes through the document token by
// token: the tree of a text of 48,000 organisations would take 100 MB.
func (m *masker) json(raw []byte) []byte {
	out := bytes.NewBuffer(make([]byte, 0, len(raw)))
	dec := jsontext.NewDecoder(bytes.NewBuffer(raw), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
	walk := secretWalk{}
	copied, end := 0, 0
	for {
		token, err := dec.ReadToken()
		if err == io.EOF && end > 0 {
			out.Write(raw[copied:])
			return m.plain(out.Bytes())
		}
		if err != nil {
			return []byte(notJSON)
		}
		start := tokenStart(raw, end)
		end = int(dec.InputOffset())
		if !walk.secret(dec, token) {
			continue
		}
		out.Write(raw[copied:start])
		out.WriteString(strconv.Quote(m.learn(token.String())))
		copied = end
	}
}

// tokenStart returns where the token begins that follows the one ending at end.
func tokenStart(raw []byte, end int) int {
	for end < len(raw) && strings.IndexByte(" \t\r\n,:", raw[end]) >= 0 {
		end++
	}
	return end
}

// secretWalk follows a document's tokens and knows which strings are secret:
// those under a secret name, at any depth.
type secretWalk struct {
	named bool // the name just read is a secret one
	depth int  // of the outermost object or array under a secret name; 0: none
}

// secret reports whether the token is a secret string.
func (w *secretWalk) secret(dec *jsontext.Decoder, token jsontext.Token) bool {
	named := w.named
	w.named = false
	switch token.Kind() {
	case '{', '[':
		if named && w.depth == 0 {
			w.depth = dec.StackDepth()
		}
	case '}', ']':
		if dec.StackDepth() < w.depth {
			w.depth = 0
		}
	case '"':
		if isName(dec) {
			w.named = secretName(token.String())
			return false
		}
		return (named || w.depth > 0) && token.String() != ""
	}
	return false
}

// isName reports whether the string just read is the name of an object's member.
func isName(dec *jsontext.Decoder) bool {
	kind, length := dec.StackIndex(dec.StackDepth())
	return kind == '{' && length%2 == 1
}

// secretName splits a name such as admin_token or adminToken into its words.
func secretName(name string) bool {
	words := strings.FieldsFunc(splitCamel(name), func(r rune) bool { return !unicode.IsLetter(r) })
	for _, word := range words {
		if secretWords[strings.ToLower(word)] {
			return true
		}
	}
	return false
}

// splitCamel sets a space before each upper-case letter that follows a lower-case one.
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
