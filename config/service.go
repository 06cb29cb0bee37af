package config

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	configpb "github.com/pearyard/pearyard/rpc/config"
	"github.com/pearyard/pearyard/types"
)

// maxMessageBytes bounds a message between processes: a full text and its frame.
const maxMessageBytes = maxTextBytes + 1<<20

// Server answers other processes' calls about the text in force here.
type Server struct {
	holder   *Holder
	spreader *Spreader
}

// NewServer returns a server over a holder; the spreader fetches what a push
// announces but doesn't bring.
func NewServer(holder *Holder, spreader *Spreader) *Server {
	return &Server{holder: holder, spreader: spreader}
}

// PathPrefix is where Handler has to be mounted.
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

// Push implements configpb.Config. A push that can't be used here, since its
// delta starts from another revision, is followed by a fetch from its sender.
func (s *Server) Push(_ context.Context, r *configpb.PushRequest) (*configpb.PushResponse, error) {
	rev := types.Revision(r.GetPayload().GetRevision())
	current := s.holder.Current()
	if rev > s.holder.Revision() {
		raw, err := unpack(r.Payload, current)
		if err == nil {
			_, err = s.holder.Offer(rev, raw)
		}
		if err != nil {
			s.spreader.Seen(r.From, rev)
		}
	}
	return &configpb.PushResponse{Revision: uint64(s.holder.Revision())}, nil
}

// Client asks other processes for texts. It is the Source of a Spreader.
type Client struct {
	holder *Holder
	http   configpb.HTTPClient
}

// NewClient returns a client; the HTTP client stamps its messages.
func NewClient(holder *Holder, http configpb.HTTPClient) *Client {
	return &Client{holder: holder, http: http}
}

func (c *Client) to(addr string) configpb.Config {
	return configpb.NewConfigProtobufClient("http://"+addr, c.http)
}

// Peek returns the revision in force at a process.
func (c *Client) Peek(ctx context.Context, addr string) (types.Revision, error) {
	response, err := c.to(addr).Get(ctx, &configpb.GetRequest{RevisionOnly: true})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return types.Revision(response.GetPayload().GetRevision()), nil
}

// ErrPeerBehind reports a peer that no longer has, or never had, the revision asked for.
var ErrPeerBehind = errors.New("config: peer is behind")

// Fetch implements Source: it returns the text in force at a process if it is
// of revision rev or later. It asks for deltas from the revision in force
// here, and for the full text if they don't fit.
func (c *Client) Fetch(ctx context.Context, from string, rev types.Revision) (types.Revision, []byte, error) {
	current := c.holder.Current()
	got, raw, err := c.get(ctx, from, rev, current)
	if errors.Is(err, ErrDelta) && current != nil {
		return c.get(ctx, from, rev, nil)
	}
	return got, raw, err
}

func (c *Client) get(ctx context.Context, from string, rev types.Revision, current *Snapshot) (types.Revision, []byte, error) {
	request := &configpb.GetRequest{}
	if current != nil {
		request.Have = uint64(current.Revision)
	}
	response, err := c.to(from).Get(ctx, request)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	payload := response.GetPayload()
	got := types.Revision(payload.GetRevision())
	if got < rev {
		return got, nil, ErrPeerBehind
	}
	raw, err := unpack(payload, current)
	return got, raw, err
}

// push sends the revision in force here, as a delta if there is one.
func (c *Client) push(ctx context.Context, addr, self string, payload *configpb.Payload) (types.Revision, error) {
	response, err := c.to(addr).Push(ctx, &configpb.PushRequest{From: self, Payload: payload})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return types.Revision(response.Revision), nil
}
