package httpwire_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	backinghttp "github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/plain"
	plainhttp "github.com/pearyard/pearyard/plain/httpapi"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/types"
)

// readers are the places that read answers whose bodies need not parse, or parse although a part
// is missing. Each returns the body.
var readers = map[string]func(ctx context.Context, address string) (string, error){
	"plain service": func(ctx context.Context, address string) (string, error) {
		answer, err := plainhttp.New(plainhttp.Options{Address: address}).Do(ctx, plain.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 8<<20)})
		return string(answer.Body), err
	},
	"object store": func(ctx context.Context, address string) (string, error) {
		raw, err := backinghttp.NewObjects(backinghttp.Options{Address: address}).Get(ctx, "k")
		return string(raw), err
	},
	"another process": func(ctx context.Context, address string) (string, error) {
		p := peer.New(peer.Options{Revision: func() types.Revision { return 0 }})
		defer p.Close()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("b", 8<<20)))
		if err != nil {
			return "", err
		}
		resp, err := p.Client().Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		return string(raw), err
	},
	"platform's store": func(ctx context.Context, address string) (string, error) {
		rows, err := platform.NewStore(address, prometheus.NewRegistry()).Rows(ctx, "t")
		return string(rows["k"]), err
	},
}

// rowsBody is an answer of the platform's store.
const rowsBody = `{"rows":[{"table":"t","part":"","key":"k","value":"YQ==","rowVersion":1}],"hasMore":false,"rowVersion":1,"currentTimeMs":1}`

// Guards against a place that reads answers with a connection of its own, and takes what is none.
func TestReadersRefuseWhatIsNoAnswer(t *testing.T) {
	for what, respond := range map[string]func(conn *net.TCPConn){
		"a head outside the grammar": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\n"+rowsBody)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"an answer cut by a reset": func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, unframed+rowsBody)
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		for name, read := range readers {
			t.Run(name+" "+what, func(t *testing.T) {
				t.Parallel()
				address := uploadServer(t, respond)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				for range 8 {
					body, err := read(ctx, address)
					gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%q", body)
				}
			})
		}
	}
}

// notChecked are the folders whose programs are tools, or stand for what is outside: no caller gets
// what they read. The command line may speak TLS, where the bytes on the connection are no response.
var notChecked = []string{"bench", "cli", "cmd", "demo", "embedded", "measure", "review", "scenario", "soak", "standin"}

// Guards against a new transport whose connections are not checked.
func TestAllTransportsCheckTheirConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		folder := strings.Split(filepath.ToSlash(path), "/")
		switch {
		case err != nil:
			return err
		case len(folder) > 1 && strings.HasPrefix(folder[1], "."):
			return filepath.SkipDir
		case len(folder) == 2 && entry.IsDir():
			for _, name := range notChecked {
				if folder[1] == name {
					return filepath.SkipDir
				}
			}
			return nil
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		raw, err := os.ReadFile(path)
		text := string(raw)
		for _, use := range []string{"http.Transport{", "http.DefaultTransport", "http.DefaultClient", "http.Client{", "http.Get(", "http.Post("} {
			if strings.Contains(text, use) {
				g.Expect(path == filepath.Join("..", "peer", "peer.go") || strings.Contains(text, "httpwire.") || folder[1] == "httpwire").To(gomega.BeTrue(), "%s: %s", path, use)
			}
		}
		return err
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
