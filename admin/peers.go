package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/inspect"
)

// peers queries what package inspect serves on the peer listeners of processes.
type peers struct {
	client   *http.Client
	timeout  time.Duration
	parallel int
	now      func() time.Time
}

// response is the body of a response, truncated at a limit.
type response struct {
	raw       []byte
	truncated bool
}

// get reads a response of at most limit bytes.
//
// Failure guarded against: a frozen process, which accepts the connection and never
// responds, or stops in the middle of its response, so that a status or a bundle
// never ends. The timeout covers the whole exchange including the body, and the
// caller gets what was read together with the error.
func (p *peers) get(ctx context.Context, member Member, path string, query url.Values, limit int64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: member.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return response{}, errors.Wrap(err, "ask")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response{}, errors.Errorf("ask: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if int64(len(raw)) > limit {
		return response{raw: raw[:limit], truncated: true}, nil
	}
	return response{raw: raw}, errors.Wrap(err, "read")
}

// Limits of what is read from one process: the limits of package inspect, plus space
// for the JSON around the data.
const (
	stateLimit      = 2*inspect.MaxStateBytes + jsonOverhead
	eventsLimit     = 2*inspect.MaxEventBytes + jsonOverhead
	versionLimit    = jsonOverhead
	metricsLimit    = inspect.MaxMetricsBytes
	goroutinesLimit = inspect.MaxGoroutinesBytes + jsonOverhead
	jsonOverhead    = 64 << 10
)

func (p *peers) getJSON(ctx context.Context, member Member, path string, query url.Values, limit int64, into any) error {
	got, err := p.get(ctx, member, path, query, limit)
	if err != nil {
		return err
	}
	if got.truncated {
		return errors.Errorf("%s: answer over %d bytes", path, limit)
	}
	return errors.Wrap(json.Unmarshal(got.raw, into), path)
}

// clockEstimate is an estimate of a process's clock from one exchange. The process
// read its clock at some time between our sending and receiving.
type clockEstimate struct {
	offset   time.Duration // its clock minus ours
	maxError time.Duration // half the round trip
}

// estimateClock treats an offset within the maximum error as zero: synchronized clocks
// are more precise than the estimate, which could order an effect before its cause.
func estimateClock(sent, received, remote time.Time) clockEstimate {
	half := received.Sub(sent) / 2
	offset := remote.Sub(sent.Add(half))
	if offset.Abs() <= half {
		offset = 0
	}
	return clockEstimate{offset: offset, maxError: half}
}

// events fetches the events of one request, or all if request is empty.
func (p *peers) events(ctx context.Context, member Member, request string) (inspect.Events, clockEstimate, error) {
	query := url.Values{}
	if request != "" {
		query.Set(inspect.ParamRequest, request)
	}
	var events inspect.Events
	sent := p.now()
	err := p.getJSON(ctx, member, inspect.PathEvents, query, eventsLimit, &events)
	if err != nil {
		return inspect.Events{}, clockEstimate{}, err
	}
	return events, estimateClock(sent, p.now(), events.Now), nil
}

// queryAll calls query for each member, a limited number at once, and passes the
// results to consume one at a time, in the order in which they arrive. Memory use is
// bounded by the number of concurrent queries.
func queryAll[T any](ctx context.Context, parallel int, members []Member, query func(context.Context, Member) T, consume func(Member, T) error) error {
	type result struct {
		member Member
		value  T
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel + 1) // one more for the goroutine that starts the queries
	results := make(chan result)
	group.Go(func() error {
		for _, m := range members {
			group.Go(func() error {
				select {
				case results <- result{member: m, value: query(ctx, m)}:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			})
		}
		return nil
	})
	var failed error
	for range members {
		select {
		case got := <-results:
			failed = consume(got.member, got.value)
		case <-ctx.Done():
			failed = ctx.Err()
		}
		if failed != nil {
			break
		}
	}
	return waitQueries(group, failed, results)
}

// waitQueries waits for the queries that are still running and discards their
// results, so that none of them blocks on the channel.
func waitQueries[A any](group *errgroup.Group, failed error, results <-chan A) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	for {
		select {
		case <-results:
		case err := <-done:
			if failed != nil {
				return failed
			}
			return err
		}
	}
}
