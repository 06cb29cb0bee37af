package streampb

import "net/http"

// FromHeader converts an HTTP header to its wire form.
func FromHeader(header http.Header) []*Header {
	out := make([]*Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			out = append(out, &Header{Name: name, Value: value})
		}
	}
	return out
}

// ToHeader is the inverse of FromHeader.
func ToHeader(headers []*Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}
