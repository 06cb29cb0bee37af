package cli

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	urfave "github.com/urfave/cli/v2"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// client calls the administration API of any of several routers.
type client struct {
	addresses []string // base URLs
	http      *http.Client
	timeout   time.Duration // of one call
}

// client returns the client that a command's flags describe.
func (p *program) client(c *urfave.Context) (*client, error) {
	var addresses []string
	for _, address := range c.StringSlice(flagAdmin) {
		addresses = append(addresses, baseURL(address))
	}
	if len(addresses) == 0 {
		return nil, usageErrorf("no router given: set --%s or %s", flagAdmin, EnvAdmin)
	}
	authorised := *p.opts.HTTP
	authorised.Transport = &bearer{token: c.String(flagToken), next: p.opts.HTTP.Transport}
	return &client{addresses: addresses, http: &authorised, timeout: c.Duration(flagTimeout)}, nil
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

// bearer adds the token to each call.
type bearer struct {
	token string
	next  http.RoundTripper // nil: the default
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", "Bearer "+b.token)
	next := b.next
	if next == nil {
		next = http.DefaultTransport
	}
	return next.RoundTrip(req)
}

func (c *client) queries(address string) adminpb.Queries {
	return adminpb.NewQueriesProtobufClient(address, c.http)
}

func (c *client) commands(address string) adminpb.Commands {
	return adminpb.NewCommandsProtobufClient(address, c.http)
}

// query calls one router after the other until one responds. It is for calls that may
// run twice. extra is added to the timeout of each call, for calls that take longer.
//
// If a connection breaks, the same router is called once more, on a new connection: it
// may only have closed a kept-alive connection after its previous response.
func query[T any](ctx context.Context, c *client, extra time.Duration, call func(context.Context, string) (T, error)) (T, error) {
	var answer T
	var err error
	for _, address := range c.addresses {
		answer, err = callRouter(ctx, c.timeout+extra, address, call)
		if connectionBroke(err) && ctx.Err() == nil {
			answer, err = callRouter(ctx, c.timeout+extra, address, call)
		}
		if err == nil || !retryableElsewhere(err) || ctx.Err() != nil {
			return answer, err
		}
	}
	return answer, errors.Wrapf(err, "none of the routers %s responds", strings.Join(c.addresses, ", "))
}

func callRouter[T any](ctx context.Context, timeout time.Duration, address string, call func(context.Context, string) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, address)
}

// retryableElsewhere reports whether the call may succeed at another router.
func retryableElsewhere(err error) bool {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return true
	}
	switch answer.Code() {
	case twirp.Internal, twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled, twirp.Unknown, twirp.BadRoute:
		return true
	default:
		return false
	}
}

// connectionBroke reports whether an established connection ended without a response.
// A router that is alive responds on a new one.
func connectionBroke(err error) bool {
	var sending *url.Error
	return errors.As(err, &sending) && !sending.Timeout() && !neverSent(err)
}

// neverSent reports whether no connection was established, so that the router can't
// have received the call.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
