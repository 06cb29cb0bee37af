package fleet

import (
	"context"
	"encoding/binary"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/retry"
)

const (
	// promptBatchDelay is how long queries and answers are collected for one datagram. The
	// callers of lost entry VMs come back within milliseconds of each other.
	promptBatchDelay = 2 * time.Millisecond
	// maxPromptParts is the largest number of parts in a query. Longer prompts are not asked
	// for.
	maxPromptParts = 16
	// maxCellsWait bounds the wait for the first read of the registry of entry VMs: the time of
	// a few calls to the store.
	maxCellsWait = 50 * time.Millisecond
	// askedPerCell is how many VMs of another cell are asked for a prompt: datagrams are lost,
	// and a VM may have stopped.
	askedPerCell = 2
)

// PromptsOptions configures a Prompts.
type PromptsOptions struct {
	Socket *Socket
	Known  <-chan struct{} // closed once the other entry VMs are known
	// OtherCells returns addresses of a few entry VMs of each other cell.
	OtherCells func() [][]string
	Directory  *directory.Directory
}

// Prompts finds the cached prompts of returning callers in other cells. A caller comes back
// through a VM of any cell, and each VM queries the servers of its own cell only: without
// Prompts, nine in ten prompts were read again at ten cells.
type Prompts struct {
	opts    PromptsOptions
	locator *promptcache.Locator

	mu      sync.Mutex
	queries map[string][]byte // to be sent, by peer
	answers map[string][]byte // to be sent, by peer
	pending chan struct{}     // holds a token when there is something to send
}

// NewPrompts returns a Prompts. UseLocator must be called before Run.
func NewPrompts(opts PromptsOptions) *Prompts {
	p := &Prompts{opts: opts, queries: map[string][]byte{}, answers: map[string][]byte{}, pending: make(chan struct{}, 1)}
	opts.Socket.handle(kindPromptQuery, p.receiveQuery)
	opts.Socket.handle(kindPromptAnswer, p.receiveAnswer)
	return p
}

// UseLocator sets the locator that answers queries and gets the answers of peers.
func (p *Prompts) UseLocator(l *promptcache.Locator) { p.locator = l }

// Await implements promptcache.Peers. Before the other entry VMs are known, all servers seem
// to be in this process's cell.
func (p *Prompts) Await(ctx context.Context) {
	timer := time.NewTimer(maxCellsWait)
	defer timer.Stop()
	select {
	case <-p.opts.Known:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Ask implements promptcache.Peers. Different prompts go to different VMs of a cell.
func (p *Prompts) Ask(service string, prompt []promptcache.Part) bool {
	cells := p.opts.OtherCells()
	if len(cells) == 0 || len(prompt) == 0 || len(prompt) > maxPromptParts {
		return false
	}
	encoded := appendPromptQuery(nil, directory.Hash(service), prompt)
	first := int(directory.Hash(prompt[len(prompt)-1].ID))
	for _, cell := range cells {
		for i := range min(askedPerCell, len(cell)) {
			p.enqueue(p.queries, cell[(first+i)%len(cell)], encoded)
		}
	}
	return true
}

// enqueue adds a query or an answer to what is to be sent to a peer. What doesn't fit into
// one datagram is left out.
func (p *Prompts) enqueue(queue map[string][]byte, peer string, encoded []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue[peer])+len(encoded) <= maxDatagram-headerBytes {
		queue[peer] = append(queue[peer], encoded...)
		signal(p.pending)
	}
}

// Run sends queries and answers until ctx ends.
func (p *Prompts) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.pending:
		}
		if err := retry.Wait(ctx, promptBatchDelay); err != nil {
			return err
		}
		p.send(kindPromptQuery, p.queries)
		p.send(kindPromptAnswer, p.answers)
	}
}

// send sends what is queued and empties the queue.
func (p *Prompts) send(k kind, queue map[string][]byte) {
	p.mu.Lock()
	due := maps.Clone(queue)
	clear(queue)
	p.mu.Unlock()
	for peer, raw := range due {
		p.opts.Socket.SendTo(body{k, raw}, []string{peer})
	}
}

// receiveQuery answers the queries of a peer, now or when the servers of this cell have
// answered.
func (p *Prompts) receiveQuery(from string, _ header, raw []byte, now time.Time) bool {
	in := reader{raw: raw, ok: true}
	for len(in.raw) > 0 && in.ok {
		service, prompt := in.promptQuery()
		name := p.serviceByHash(service)
		if !in.ok || name == "" || len(prompt) == 0 {
			continue
		}
		last := prompt[len(prompt)-1].ID
		servers := func() []*directory.Server { return p.opts.Directory.Healthy(name, now) }
		p.locator.AnswerPeer(name, servers, prompt, func(s directory.Start, tokens int) {
			p.enqueue(p.answers, from, appendPromptAnswer(nil, service, s.Hash(), tokens, last))
		})
	}
	return in.ok
}

func (p *Prompts) receiveAnswer(_ string, _ header, raw []byte, _ time.Time) bool {
	in := reader{raw: raw, ok: true}
	for len(in.raw) > 0 && in.ok {
		service, start, tokens, last := in.uint32(), in.uint32(), in.uint32(), in.text()
		server := p.opts.Directory.View().ByHash(start)
		if in.ok && server != nil && directory.Hash(server.Service) == service {
			p.locator.RecordPeerAnswer(server.Service, last, server.Start, int(min(tokens, math.MaxInt32)))
		}
	}
	return in.ok
}

func (p *Prompts) serviceByHash(hash uint32) string {
	for _, name := range p.opts.Directory.View().Services() {
		if directory.Hash(name) == hash {
			return name
		}
	}
	return ""
}

// appendPromptQuery appends a query: service (4), number of parts (1), for each its tokens
// (4), the length of its id (1) and its id.
func appendPromptQuery(out []byte, service uint32, prompt []promptcache.Part) []byte {
	out = binary.BigEndian.AppendUint32(out, service)
	out = append(out, byte(len(prompt)))
	for _, part := range prompt {
		out = binary.BigEndian.AppendUint32(out, uint32(min(max(0, part.Tokens), math.MaxInt32)))
		out = appendText(out, part.ID)
	}
	return out
}

// appendPromptAnswer appends an answer: service (4), start of the server (4), tokens that it
// has cached (4), length of the id of the prompt's last part (1) and the id.
func appendPromptAnswer(out []byte, service, start uint32, tokens int, last string) []byte {
	out = binary.BigEndian.AppendUint32(out, service)
	out = binary.BigEndian.AppendUint32(out, start)
	out = binary.BigEndian.AppendUint32(out, uint32(min(tokens, math.MaxInt32)))
	return appendText(out, last)
}

// appendText appends the first 255 bytes of a text with their number.
func appendText(out []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint8)]
	return append(append(out, byte(len(text))), text...)
}

func (in *reader) promptQuery() (service uint32, prompt []promptcache.Part) {
	service = in.uint32()
	for range in.byte() {
		tokens := in.uint32()
		prompt = append(prompt, promptcache.Part{ID: in.text(), Tokens: int(min(tokens, math.MaxInt32))})
	}
	return service, prompt
}
