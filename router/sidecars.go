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

const (
	cancelTimeout = time.Second
	// cancelRetryInterval is the pause between tries to cancel an attempt.
	cancelRetryInterval = 200 * time.Millisecond
)

// sidecars calls sidecars by address. It implements claim.SidecarClient and
// the client of package tokenlog.
type sidecars struct{ http *http.Client }

// NewSidecarClient returns a client for the calls and voids of claims.
func NewSidecarClient(client *http.Client) claim.SidecarClient { return sidecars{http: client} }

func (s sidecars) at(addr string) streampb.Sidecar {
	return streampb.NewSidecarProtobufClient("http://"+addr, s.http)
}

// Call sends one call of a plain service, exactly once. It returns plain.ErrNotSent
// only if the call was never given a connection.
func (s sidecars) Call(ctx context.Context, addr string, req *streampb.CallRequest) (*streampb.CallResponse, error) {
	var guard peer.SentGuard
	resp, err := s.at(addr).Call(guard.Watch(ctx), req)
	if err != nil && !guard.MayHaveSent() {
		return nil, errors.Wrap(plain.ErrNotSent, err.Error())
	}
	if err == nil && resp.GetRequestId() != req.GetRequestId() {
		return nil, errors.Wrapf(errWrongRequest, "call %s at %s got the response to %q", req.GetRequestId(), addr, resp.GetRequestId())
	}
	return resp, err
}

// errWrongRequest is returned instead of a response to another request. Returning that
// response would give a caller somebody else's result; the outcome of its own call is
// unknown.
var errWrongRequest = errors.New("router: response belongs to another request")

// Void requests that an attempt never run.
func (s sidecars) Void(ctx context.Context, addr string, req *streampb.VoidRequest) (*streampb.CallResponse, error) {
	return s.at(addr).Void(peer.Repeatable(ctx), req)
}

// Lookup asks what a sidecar knows of a generation or a request key. A lookup that
// reserves a key isn't retried: the retry would find its own reservation.
func (s sidecars) Lookup(ctx context.Context, addr string, in *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	if in.GetReserve() == "" {
		ctx = peer.Repeatable(ctx)
	}
	return s.at(addr).Lookup(ctx, in)
}

// Read fetches a journalled branch of a generation.
func (s sidecars) Read(ctx context.Context, addr string, in *journalpb.ReadRequest) (*journalpb.ReadResponse, error) {
	return journalpb.NewJournalProtobufClient("http://"+addr, s.http).Read(peer.Repeatable(ctx), in)
}

// cancelAttempt frees an engine from an attempt that nobody reads any more. It runs
// in the background: the caller's stream doesn't wait for a sidecar that may be dead.
//
// It retries until the sidecar answers or has ended the attempt by itself, which it does
// RouterGrace after its reader has left: a sidecar that was cut off briefly would work on
// beside the attempt that replaces this one.
func (r *Router) cancelAttempt(addr string, id types.GenerationID, attempt types.AttemptTag) {
	req := &streampb.CancelRequest{Generation: id.String(), Attempt: uint32(attempt)}
	giveUpAt := time.Now().Add(r.opts.Text().Recovery.RouterGrace())
	go func() {
		for !r.sidecars.cancel(addr, req) && time.Now().Before(giveUpAt) {
			time.Sleep(cancelRetryInterval)
		}
	}()
}

// cancel reports whether the sidecar at addr has answered the request.
func (s sidecars) cancel(addr string, req *streampb.CancelRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_, err := s.at(addr).Cancel(peer.Repeatable(ctx), req)
	return err == nil
}
