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

// crossing answers every call with the answer to another request.
type crossing struct{ streampb.Sidecar }

func (crossing) Call(context.Context, *streampb.CallRequest) (*streampb.CallResponse, error) {
	return &streampb.CallResponse{Outcome: streampb.CallOutcome_CALL_COMPLETED, RequestId: "req-other", Status: http.StatusOK, Body: []byte("other")}, nil
}

// Two kiosks ask at once and their answers come back crossed. Neither may be
// given the other's receipt.
func TestCrossedAnswerIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(streampb.NewSidecarServer(crossing{}))
	defer server.Close()
	sidecars := router.NewSidecarClient(http.DefaultClient)
	resp, err := sidecars.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), &streampb.CallRequest{RequestId: "req-own"})
	g.Expect(err).To(HaveOccurred())
	g.Expect(resp.GetBody()).To(BeEmpty())
}
