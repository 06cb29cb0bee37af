package router_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/router"
	streampb "github.com/pearyard/pearyard/rpc/stream"
)

// mismatchedSidecar answers every call with the response to another request.
type mismatchedSidecar struct{ streampb.Sidecar }

func (mismatchedSidecar) Call(context.Context, *streampb.CallRequest) (*streampb.CallResponse, error) {
	return &streampb.CallResponse{Outcome: streampb.CallOutcome_CALL_COMPLETED, RequestId: "req-other", Status: http.StatusOK, Body: []byte("other")}, nil
}

// A caller must not get the response to another caller's request.
func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(streampb.NewSidecarServer(mismatchedSidecar{}))
	defer server.Close()
	sidecars := router.NewSidecarClient(http.DefaultClient)
	resp, err := sidecars.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), &streampb.CallRequest{RequestId: "req-own"})
	g.Expect(err).To(HaveOccurred())
	g.Expect(resp.GetBody()).To(BeEmpty())
}
