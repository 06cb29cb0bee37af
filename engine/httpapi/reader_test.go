package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

func FuzzReadGeneration(f *testing.F) {
	f.Add(`{"id":1,"text":" w00000001"}` + "\n" + `{"finish":"stop","prefilled_tokens":3}` + "\n")
	f.Add(`{"id":1,"text":" w00000001"}` + "\n" + `{"id":2,"te`)
	f.Add("{}\n")
	f.Fuzz(func(t *testing.T, stream string) {
		tokens := 0
		result, err := readGeneration(strings.NewReader(stream), func(types.Token) error { tokens++; return nil })
		if err != nil && !errors.Is(err, engine.ErrConnectionLost) {
			t.Fatalf("error is not ErrConnectionLost: %v", err)
		}
		if (err == nil) != (result.Finish != "") {
			t.Fatalf("finish reason %q with error %v", result.Finish, err)
		}
		if tokens > strings.Count(stream, "\n")+1 {
			t.Fatalf("%d tokens emitted from %d lines", tokens, strings.Count(stream, "\n")+1)
		}
	})
}

func TestCleanCloseWithoutFinishLineIsConnectionLost(t *testing.T) {
	// An engine crashes in the middle of an answer and the kernel closes its socket
	// cleanly. The caller must not get the truncated answer as a complete one.
	g := NewWithT(t)
	_, err := readGeneration(strings.NewReader(`{"id":1,"text":"a"}`+"\n"), func(types.Token) error { return nil })
	g.Expect(err).To(MatchError(engine.ErrConnectionLost))
}

func TestErrorsOfGenerate(t *testing.T) {
	g := NewWithT(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	c := New(Options{Address: server.Listener.Addr().String()})
	generate := func() error {
		_, err := c.Generate(context.Background(), engine.Request{}, nil)
		return err
	}
	for code, want := range map[int]error{200: engine.ErrConnectionLost, 404: engine.ErrRefused, 429: engine.ErrRefused, 500: engine.ErrConnectionLost, 503: engine.ErrRefused} {
		status = code
		g.Expect(generate()).To(MatchError(want), "status %d", code)
	}
	server.Close()
	g.Expect(generate()).To(MatchError(engine.ErrRefused), "no connection could be made")
}
