package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/plain"
	journalpb "github.com/pearyard/pearyard/rpc/journal"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const cancelTimeout = time.Second

// sidecars calls sidecars by address. It implements claim.SidecarClient and
// journal.Client.
type sidecars struct{ http *http.Client }

// NewSidecarClient returns the client of sidecars that claims are made with.
func NewSidecarClient(client *http.Client) claim.SidecarClient { return sidecars{http: client} }

func (s sidecars) at(addr string) streampb.Sidecar {
	return streampb.NewSidecarProtobufClient("http://"+addr, s.http)
}

// Call sends one call of a plain service, exactly once. It returns
// plain.ErrNotSent only if no connection was ever handed to the call.
func (s sidecars) Call(ctx context.Context, addr string, req *streampb.CallRequest) (*streampb.CallResponse, error) {
	var guard peer.SentGuard
	resp, err := s.at(addr).Call(guard.Watch(ctx), req)
	if err != nil && !guard.MayHaveSent() {
		return nil, errors.Wrap(plain.ErrNotSent, err.Error())
	}
	if err == nil && resp.GetRequestId() != req.GetRequestId() {
		return nil, errCrossed
	}
	return resp, err
}

// errCrossed: an answer that names another request. Passing it on would give a
// caller somebody else's receipt; what became of its own call isn't known.
var errCrossed = errors.New("router: answer belongs to another request")

// Void asks that an attempt never run.
func (s sidecars) Void(ctx context.Context, addr string, req *streampb.VoidRequest) (*streampb.CallResponse, error) {
	return s.at(addr).Void(peer.Repeatable(ctx), req)
}

// Lookup asks what a sidecar knows of a generation or a request key. One that
// reserves a key is asked once: asked again it would meet its own reservation.
func (s sidecars) Lookup(ctx context.Context, addr string, in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	if in.GetReserve() == "" {
		ctx = peer.Repeatable(ctx)
	}
	return s.at(addr).Lookup(ctx, in)
}

// Read fetches a journalled branch.
func (s sidecars) Read(ctx context.Context, addr string, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error) {
	return journalpb.NewJournalProtobufClient("http://"+addr, s.http).Read(peer.Repeatable(ctx), in)
}

// cancelAttempt frees an engine from an attempt nobody reads any more, in the
// background: the caller's stream doesn't wait for a sidecar that may be gone.
func (r *Router) cancelAttempt(addr string, id types.GenerationID, attempt types.AttemptTag) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_, _ = r.sidecars.at(addr).Cancel(peer.Repeatable(ctx), &streampb.CancelRequest{Generation: id.String(), Attempt: uint32(attempt)})
	}()
}
