package tokenlog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// storeServer implements only Append.
type storeServer struct {
	streampb.Sidecar
	store *Store
}

func (s storeServer) Append(_ context.Context, in *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	return s.store.Append(in), nil
}

// BenchmarkAppendOverHTTP measures one append of 11 tokens over loopback: the mean of a
// 500 ms batch when each generation has its own peers. cpu-us is the CPU time of the
// process, both ends included.
func BenchmarkAppendOverHTTP(b *testing.B) {
	srv := httptest.NewServer(streampb.NewSidecarServer(storeServer{store: NewStore(StoreOptions{})}))
	defer srv.Close()
	client := streampb.NewSidecarProtobufClient(srv.URL, http.DefaultClient)
	in := makeAppends(types.NewGenerationID(1), 11, 11)[0]
	before := cpuMicros()
	for b.Loop() {
		if _, err := client.Append(b.Context(), in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((cpuMicros()-before)/float64(b.N), "cpu-us/append")
}

func cpuMicros() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
}
