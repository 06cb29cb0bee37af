package config

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// maxMessageBytes bounds a message between processes: a full configuration and
// its framing.
const maxMessageBytes = maxConfigBytes + 1<<20

// Server serves the configuration in force to other processes and takes their pushes.
type Server struct {
	holder *Holder
	syncer *Syncer
}

// NewServer returns a server over a holder; the syncer fetches a revision whose
// push can't be applied here.
func NewServer(holder *Holder, syncer *Syncer) *Server {
	return &Server{holder: holder, syncer: syncer}
}

// PathPrefix is the path at which Handler must be mounted.
const PathPrefix = configpb.ConfigPathPrefix

// Handler returns the server as an HTTP handler.
func (s *Server) Handler() http.Handler {
	return http.MaxBytesHandler(configpb.NewConfigServer(s), maxMessageBytes)
}

// Get implements configpb.Config.
func (s *Server) Get(_ context.Context, r *configpb.GetRequest) (*configpb.GetResponse, error) {
	if r.RevisionOnly {
		return &configpb.GetResponse{Payload: &configpb.Payload{Revision: uint64(s.holder.Revision())}}, nil
	}
	payload, err := s.holder.payload(types.Revision(r.Have))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &configpb.GetResponse{Payload: payload}, nil
}

// Push implements configpb.Config. If the push can't be applied here, as when its delta
// starts from another revision, the revision is fetched from the sender.
func (s *Server) Push(_ context.Context, r *configpb.PushRequest) (*configpb.PushResponse, error) {
	rev := types.Revision(r.GetPayload().GetRevision())
	current := s.holder.Current()
	if rev > s.holder.Revision() {
		raw, err := decodePayload(r.Payload, current)
		if err == nil {
			_, err = s.holder.Offer(rev, raw)
		}
		if err != nil {
			s.syncer.RecordPeerRevision(r.From, rev)
		}
	}
	return &configpb.PushResponse{Revision: uint64(s.holder.Revision())}, nil
}

// Client calls the Servers of other processes. It implements Source.
type Client struct {
	holder *Holder
	http   configpb.HTTPClient
}

// NewClient returns a client; the HTTP client adds a stamp to each message (see
// package peer).
func NewClient(holder *Holder, http configpb.HTTPClient) *Client {
	return &Client{holder: holder, http: http}
}

func (c *Client) clientFor(addr string) configpb.Config {
	return configpb.NewConfigProtobufClient("http://"+addr, c.http)
}

// Peek returns the revision in force at a process.
func (c *Client) Peek(ctx context.Context, addr string) (types.Revision, error) {
	response, err := c.clientFor(addr).Get(ctx, &configpb.GetRequest{RevisionOnly: true})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return types.Revision(response.GetPayload().GetRevision()), nil
}

// ErrPeerBehind reports a peer whose revision in force is older than the requested one.
var ErrPeerBehind = errors.New("config: peer is behind")

// Fetch implements Source: it returns the configuration in force at a process if
// its revision is rev or later. It requests deltas from the revision in force
// here, and the full configuration if they don't apply.
func (c *Client) Fetch(ctx context.Context, from string, rev types.Revision) (types.Revision, []byte, error) {
	current := c.holder.Current()
	got, raw, err := c.get(ctx, from, rev, current)
	if errors.Is(err, ErrDeltaMismatch) && current != nil {
		return c.get(ctx, from, rev, nil)
	}
	return got, raw, err
}

func (c *Client) get(ctx context.Context, from string, rev types.Revision, current *Snapshot) (types.Revision, []byte, error) {
	request := &configpb.GetRequest{}
	if current != nil {
		request.Have = uint64(current.Revision)
	}
	response, err := c.clientFor(from).Get(ctx, request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	payload := response.GetPayload()
	got := types.Revision(payload.GetRevision())
	if got < rev {
		return got, nil, ErrPeerBehind
	}
	raw, err := decodePayload(payload, current)
	return got, raw, err
}

// push sends a payload to a process and returns the revision in force there.
func (c *Client) push(ctx context.Context, addr, self string, payload *configpb.Payload) (types.Revision, error) {
	response, err := c.clientFor(addr).Push(ctx, &configpb.PushRequest{From: self, Payload: payload})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return types.Revision(response.Revision), nil
}
