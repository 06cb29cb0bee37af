package router

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/claim"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const (
	// lookTimeout bounds each of the two looks; a refusal must come at once.
	lookTimeout = 250 * time.Millisecond
	// looksPerSecond bounds the looks of one router: what is shed in a storm must
	// not become a load on the table service.
	looksPerSecond = 50
)

// truthful turns a refusal "not run" of a non-idempotent call into "unknown" if
// an earlier try under the same key may have run.
//
// Failure it stops: a caller whose earlier try ran, and whose answer was lost,
// is told "not run" by a router that couldn't or didn't look; it sends the call
// again under another key, and the label is printed twice. The claim row proves
// that there was no earlier try. Where it can't be read, all sidecars of the
// service say whether they ran one; any that doesn't answer leaves it unknown.
func (r *Router) truthful(req *http.Request, refusal *types.Refusal) *types.Refusal {
	key := req.Header.Get(HeaderIdempotencyKey)
	in := r.opts.Text()
	if refusal.Outcome != types.OutcomeNotRun || refusal.RetryAfter == 0 || key == "" || in == nil || r.opts.Claims == nil {
		return refusal
	}
	service, ok := in.Service(req.PathValue("service"))
	org, known := organisationOf(req, in)
	if !ok || !known || service.Calls != text.CallsAtMostOnce || !r.mayHaveRunEarlier(req.Context(), service.Name, org, key) {
		return refusal
	}
	doubtful := *refusal
	doubtful.Outcome = types.OutcomeUnknown
	doubtful.Message += "; an earlier try with this key may have run: come back with the same key"
	return &doubtful
}

func (r *Router) mayHaveRunEarlier(ctx context.Context, service string, org types.Organisation, key string) bool {
	if !r.looks.Allow() {
		return true
	}
	row, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	claimed, err := r.opts.Claims.Claimed(row, service, org, key)
	if err == nil {
		return claimed
	}
	return r.ranAnywhere(ctx, service, claim.Key(service, org, key))
}

// ranAnywhere asks all sidecars of a service; one that doesn't answer counts as a yes.
func (r *Router) ranAnywhere(ctx context.Context, service, claimKey string) bool {
	sf := r.service(service)
	if sf == nil {
		return true
	}
	targets := *sf.members.Load()
	if len(targets) > askAllUpTo {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	var ran atomic.Bool
	var group errgroup.Group
	for _, t := range targets {
		group.Go(func() error {
			resp, err := r.sidecars.at(t.address).Seen(ctx, &streampb.SeenRequest{ClaimKey: claimKey})
			if err != nil || resp.GetRan() {
				ran.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return ran.Load()
}

// organisationOf finds the organisation of a request's API key.
func organisationOf(req *http.Request, in *text.Config) (types.Organisation, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), authorizationTitle)
	if !ok {
		return "", false
	}
	org, ok := in.OrganisationByKey(token)
	if !ok {
		return "", false
	}
	return types.Organisation(org.Name), true
}
