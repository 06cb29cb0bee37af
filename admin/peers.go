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

// peers asks processes for what package inspect serves on their peer listeners.
type peers struct {
	client   *http.Client
	timeout  time.Duration
	parallel int
	now      func() time.Time
}

// body is one answer, cut at its bound.
type body struct {
	raw       []byte
	truncated bool
}

// get reads an answer of at most limit bytes.
//
// Failure guarded against: a frozen process, which accepts the connection and
// never answers, or stops in the middle of its answer. It shows as a status or a
// bundle that never ends. The timeout covers the whole exchange, the body
// included, and the caller gets what was read together with the error.
func (p *peers) get(ctx context.Context, member Member, path string, query url.Values, limit int64) (body, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: member.Address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return body{}, errors.Wrap(err, "ask")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return body{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return body{}, errors.Errorf("ask: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if int64(len(raw)) > limit {
		return body{raw: raw[:limit], truncated: true}, nil
	}
	return body{raw: raw}, errors.Wrap(err, "read")
}

// Bounds of what is read from one process: what it may send by its own bounds,
// and room for the JSON around it.
const (
	stateLimit      = 2*inspect.MaxStateBytes + jsonRoom
	eventsLimit     = 2*inspect.MaxEventBytes + jsonRoom
	versionLimit    = jsonRoom
	metricsLimit    = inspect.MaxMetricsBytes
	goroutinesLimit = inspect.MaxGoroutinesBytes + jsonRoom
	jsonRoom        = 64 << 10
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

// clock is the estimate of a process's clock from one exchange: the process
// wrote its time somewhere between sending and receiving.
type clock struct {
	offset time.Duration // its clock less ours
	bound  time.Duration // of the error: half the round trip
}

// estimate takes an offset within its own error for none: clocks that are kept in
// step are better than the estimate, which would put an answer before its cause.
func estimate(sent, received, remote time.Time) clock {
	half := received.Sub(sent) / 2
	offset := remote.Sub(sent.Add(half))
	if offset.Abs() <= half {
		offset = 0
	}
	return clock{offset: offset, bound: half}
}

// events reads the events of one request, or all if request is empty.
func (p *peers) events(ctx context.Context, member Member, request string) (inspect.Events, clock, error) {
	query := url.Values{}
	if request != "" {
		query.Set(inspect.ParamRequest, request)
	}
	var events inspect.Events
	sent := p.now()
	err := p.getJSON(ctx, member, inspect.PathEvents, query, eventsLimit, &events)
	if err != nil {
		return inspect.Events{}, clock{}, err
	}
	return events, estimate(sent, p.now(), events.Now), nil
}

// gather asks each member by ask, a bounded number at once, and hands the
// answers to take one at a time in the order in which they come. What is held
// in memory is bounded by the number asked at once.
func gather[T any](ctx context.Context, parallel int, members []Member, ask func(context.Context, Member) T, take func(Member, T) error) error {
	type answer struct {
		member Member
		value  T
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel + 1) // one more for the goroutine that starts the others
	answers := make(chan answer)
	group.Go(func() error {
		for _, m := range members {
			group.Go(func() error {
				select {
				case answers <- answer{member: m, value: ask(ctx, m)}:
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
		case got := <-answers:
			failed = take(got.member, got.value)
		case <-ctx.Done():
			failed = ctx.Err()
		}
		if failed != nil {
			break
		}
	}
	return finish(group, failed, answers)
}

// finish drains the answers of asks that still run, so that none of them waits
// for a reader that has gone.
func finish[A any](group *errgroup.Group, failed error, answers <-chan A) error {
	done := make(chan error, 1)
	go func() { done <- group.Wait() }()
	for {
		select {
		case <-answers:
		case err := <-done:
			if failed != nil {
				return failed
			}
			return err
		}
	}
}
