package measure

import (
	"net/http"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// bearer is an http.RoundTripper that adds the administration token to requests.
type bearer struct{}

// RoundTrip implements http.RoundTripper.
func (bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+adminToken)
	return http.DefaultTransport.RoundTrip(r)
}

// commands returns a client for the commands of the administration API of the router
// with the given index.
func (s *site) commands(router int) adminpb.Commands {
	return adminpb.NewCommandsProtobufClient(s.adminURL(router), &http.Client{Transport: bearer{}})
}

// queries returns a client for the queries of the administration API of the router
// with the given index.
func (s *site) queries(router int) adminpb.Queries {
	return adminpb.NewQueriesProtobufClient(s.adminURL(router), &http.Client{Transport: bearer{}})
}

// adminURL returns the URL of the administration API of the router with the given index.
func (s *site) adminURL(router int) string { return "http://" + s.routers[router].address["admin"] }
