package exchange

import "io"

const (
	// maxBufferedBody is the size in bytes up to which a response is read completely
	// before the caller gets any of it: until then a broken response can be requested
	// again.
	maxBufferedBody = 256 << 10
	// minBufferedBody is the same while many requests are in progress, which share
	// Options.ResponseMemory.
	minBufferedBody = 16 << 10
	// defaultResponseMemory fits the smallest VMs, which have 112 MB.
	defaultResponseMemory = 7 << 20
	// firstReadSize is the initial size of the buffer for a body, in bytes.
	firstReadSize = 2 << 10
)

// bufferLimit returns up to which size the next response is read before the caller gets any of
// it. A server in trouble may send without end on all connections at once.
func (e *Exchange) bufferLimit() int {
	if e.opts.Running == nil {
		return maxBufferedBody
	}
	share := e.opts.ResponseMemory / max(1, e.opts.Running())
	return int(min(max(share, minBufferedBody), maxBufferedBody))
}

// readReply reads a response body to its end, or up to bufferLimit.
func (e *Exchange) readReply(a *Answer) (*Reply, error) {
	body, whole, err := readUpTo(a.Body, e.bufferLimit())
	if err != nil {
		_ = a.Body.Close()
		return nil, &BrokenError{Err: err}
	}
	reply := &Reply{Status: a.Status, Header: a.Header, Body: body}
	if !whole {
		reply.Rest = a.Body
	}
	return reply, nil
}

// readUpTo reads r to its end, or the first limit bytes. whole is set at the end.
func readUpTo(r io.Reader, limit int) (read []byte, whole bool, err error) {
	read = make([]byte, 0, min(limit, firstReadSize))
	for {
		if len(read) == cap(read) {
			if len(read) == limit {
				return read, false, nil
			}
			larger := make([]byte, len(read), min(limit, 2*cap(read)))
			copy(larger, read)
			read = larger
		}
		n, err := r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}
