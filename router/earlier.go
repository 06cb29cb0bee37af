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
	// earlierLookupTimeout bounds each of the two lookups; a refusal must not take long.
	earlierLookupTimeout = 250 * time.Millisecond
	// earlierLookupsPerSecond bounds the lookups of one router: refused requests
	// must not overload the table service when there are many.
	earlierLookupsPerSecond = 50
)

// accountForEarlier changes the outcome "not run" of a refused non-idempotent call
// to "unknown" if an earlier request with the same key may have run.
//
// A caller whose earlier request ran, and whose answer was lost, would otherwise be
// told "not run" by a router that couldn't or didn't check, send the call again with
// another key and run it twice. The absence of a claim row proves that there was no
// earlier request. If the row can't be read, all sidecars of the service are asked
// whether they ran one; the outcome is unknown if one of them doesn't answer.
func (r *Router) accountForEarlier(req *http.Request, refusal *types.Refusal) *types.Refusal {
	key := req.Header.Get(HeaderIdempotencyKey)
	conf := r.opts.Text()
	if refusal.Outcome != types.OutcomeNotRun || refusal.RetryAfter == 0 || key == "" || conf == nil || r.opts.Claims == nil {
		return refusal
	}
	service, ok := conf.Service(req.PathValue("service"))
	org, known := organisationOfRequest(req, conf)
	if !ok || !known || service.Calls != text.CallsAtMostOnce || !r.earlierMayHaveRun(req.Context(), service.Name, org, key) {
		return refusal
	}
	doubtful := *refusal
	doubtful.Outcome = types.OutcomeUnknown
	doubtful.Message += "; an earlier try with this key may have run: come back with the same key"
	return &doubtful
}

func (r *Router) earlierMayHaveRun(ctx context.Context, service string, org types.Organisation, key string) bool {
	if !r.earlierLookups.Allow() {
		return true
	}
	readCtx, cancel := context.WithTimeout(ctx, earlierLookupTimeout)
	defer cancel()
	claimed, err := r.opts.Claims.Claimed(readCtx, service, org, key)
	if err == nil {
		return claimed
	}
	return r.anyRan(ctx, service, claim.Key(service, org, key))
}

// anyRan asks all sidecars of a service whether they ran a call with the claim's
// key. A sidecar that doesn't answer counts as a yes.
func (r *Router) anyRan(ctx context.Context, service, claimKey string) bool {
	sf := r.service(service)
	if sf == nil {
		return true
	}
	targets := *sf.targets.Load()
	if len(targets) > maxSidecarsSearched {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, earlierLookupTimeout)
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

// organisationOfRequest returns the organisation of a request's API key.
func organisationOfRequest(req *http.Request, conf *text.Config) (types.Organisation, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", false
	}
	org, ok := conf.OrganisationByKey(token)
	if !ok {
		return "", false
	}
	return types.Organisation(org.Name), true
}
