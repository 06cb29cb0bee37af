package admin

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"sort"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// Bounds of a bundle.
const (
	bundleConfigs  = 10        // newest revisions that are included in full
	bundleMaxBytes = 512 << 20 // before compression; the manifest lists what is left out
	fileMode       = 0o600     // of the unpacked files, which may be confidential
)

// Names of the files of a bundle. The files of a process are in processes/<process>/.
const (
	fileReadme     = "README.txt"
	fileHistory    = "history.json"
	fileStatus     = "status.json"
	fileManifest   = "MANIFEST.json"
	fileState      = "state.json"
	fileEvents     = "events.json"
	fileVersion    = "version.json"
	fileMetrics    = "metrics.txt"
	fileGoroutines = "goroutines.txt"
	dirConfigs     = "texts"
	dirProcesses   = "processes"
)

const bundleReadme = `A bundle of one pearyard site. docs/operations/vendor-without-access.md says how to work from it.
MANIFEST.json   what was asked, what answered, clock offsets; written last: a bundle without it is cut
history.json    accepted revisions: who, when, note
texts/          the texts of the newest revisions, and the one in force in the asked router
status.json     the asked router's view of members, quarantines and drains
processes/      state, events, metrics, goroutines and version of each process that answered
Secrets and callers' content are replaced by masked-<tag>; equal values have equal tags within this bundle.
`

// Manifest is the last file of a bundle.
type Manifest struct {
	MadeAt    time.Time         `json:"made_at"`
	MadeBy    string            `json:"made_by"`
	Build     inspect.Version   `json:"build"`
	Problems  []string          `json:"problems"` // with parts that don't belong to a process
	Processes []ManifestProcess `json:"processes"`
}

// ManifestProcess is the result of querying one process.
type ManifestProcess struct {
	Process       string            `json:"process"`
	Role          string            `json:"role"`
	Zone          string            `json:"zone"`
	State         string            `json:"state"`
	Directory     string            `json:"directory"`
	Files         []string          `json:"files"`
	Failed        map[string]string `json:"failed,omitempty"`    // file to the reason why it is missing
	Truncated     []string          `json:"truncated,omitempty"` // files cut at their size limit
	ClockOffsetMS float64           `json:"clock_offset_ms"`     // its clock minus the querying router's
	ClockErrorMS  float64           `json:"clock_error_ms"`
}

// serveBundle streams the bundle. On an error it aborts the connection, so that the
// client sees a broken transfer and doesn't take a partial bundle for a complete one.
func (s *Server) serveBundle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/gzip")
	if err := s.WriteBundle(r.Context(), w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// WriteBundle writes the bundle as a tar.gz. It holds in memory the files of the
// processes that are queried at once.
func (s *Server) WriteBundle(ctx context.Context, w io.Writer) error {
	zipped := gzip.NewWriter(w)
	b := &bundle{
		server:   s,
		tar:      tar.NewWriter(zipped),
		masker:   newMasker(append([]string{s.opts.Token}, s.opts.Secrets...)...),
		manifest: Manifest{MadeAt: s.opts.Now(), MadeBy: string(s.opts.Process), Build: inspect.BuildVersion()},
	}
	if err := b.write(ctx); err != nil {
		return err
	}
	if err := b.tar.Close(); err != nil {
		return err
	}
	return zipped.Close()
}

// bundle is a bundle being written. Configurations come first, so that the masker
// knows their secrets when dumps and events are written.
type bundle struct {
	server   *Server
	tar      *tar.Writer
	masker   *masker
	manifest Manifest
	bytes    int // written so far, before compression
}

func (b *bundle) write(ctx context.Context) error {
	if err := b.writeFile(fileReadme, []byte(bundleReadme)); err != nil {
		return err
	}
	if err := b.writeConfigs(ctx); err != nil {
		return err
	}
	if err := b.writeStatus(ctx); err != nil {
		return err
	}
	if err := b.writeProcesses(ctx); err != nil {
		return err
	}
	sort.Slice(b.manifest.Processes, func(i, j int) bool {
		return b.manifest.Processes[i].Process < b.manifest.Processes[j].Process
	})
	raw, err := json.MarshalIndent(b.manifest, "", "  ")
	if err != nil {
		return err
	}
	b.server.opts.Recorder.Emit(eventBundle, "processes", len(b.manifest.Processes), "bytes", b.bytes)
	return b.writeFile(fileManifest, b.masker.maskText(raw))
}

// writeConfigs writes the configurations and the history; if the store is
// unavailable, only the configuration in force here.
func (b *bundle) writeConfigs(ctx context.Context) error {
	inForce := b.server.opts.InForce()
	if inForce.Revision != 0 {
		if err := b.writeFile(configFile("in-force", inForce), b.masker.maskJSON(inForce.Raw)); err != nil {
			return err
		}
	}
	history, err := b.server.opts.Store.History(ctx, MaxHistory)
	if err != nil {
		b.addProblem("history", err)
		return nil
	}
	resp := &adminpb.HistoryResponse{}
	for i, config := range history {
		if i < bundleConfigs {
			if err := b.writeConfig(ctx, config); err != nil {
				return err
			}
		}
		config.Raw = nil
		resp.Revisions = append(resp.Revisions, revisionPB(config))
	}
	return b.writeMessage(fileHistory, resp)
}

func configFile(kind string, config ConfigRevision) string {
	return path.Join(dirConfigs, fmt.Sprintf("%s-%08d.json", kind, config.Revision))
}

func (b *bundle) writeConfig(ctx context.Context, config ConfigRevision) error {
	loaded, err := b.server.opts.Store.Load(ctx, config.Revision)
	if err != nil {
		b.addProblem(fmt.Sprintf("text of revision %d", config.Revision), err)
		return nil
	}
	return b.writeFile(configFile("accepted", loaded), b.masker.maskJSON(loaded.Raw))
}

func (b *bundle) addProblem(what string, err error) {
	b.manifest.Problems = append(b.manifest.Problems, what+": "+err.Error())
}

func (b *bundle) writeStatus(ctx context.Context) error {
	status, err := b.server.Status(ctx, &adminpb.StatusRequest{})
	if err != nil {
		b.addProblem(fileStatus, err)
		return nil
	}
	return b.writeMessage(fileStatus, status)
}

func (b *bundle) writeMessage(name string, m proto.Message) error {
	raw, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	return b.writeFile(name, b.masker.maskText(raw))
}

func (b *bundle) writeProcesses(ctx context.Context) error {
	incomplete := 0
	members := b.server.members()
	err := queryAll(ctx, b.server.opts.Parallel, members, b.server.collectFiles, func(m Member, got processFiles) error {
		if len(got.failed) > 0 {
			incomplete++
		}
		return b.writeProcess(m, got)
	})
	b.server.recordUnanswered("bundle", incomplete)
	return err
}

// writeProcess writes the files of one process.
func (b *bundle) writeProcess(m Member, got processFiles) error {
	entry := ManifestProcess{
		Process:       string(m.Process),
		Role:          string(m.Role),
		Zone:          string(m.Zone),
		State:         string(m.State),
		Directory:     path.Join(dirProcesses, url.PathEscape(string(m.Process))),
		Failed:        got.failed,
		Truncated:     got.truncated,
		ClockOffsetMS: milliseconds(got.clock.offset),
		ClockErrorMS:  milliseconds(got.clock.maxError),
	}
	for _, file := range maskFiles(b.masker.child(), got.files) {
		raw := file.raw
		if b.bytes+len(raw) > bundleMaxBytes {
			entry.Failed[file.name] = fmt.Sprintf("left out: the bundle is over %d bytes", bundleMaxBytes)
			continue
		}
		if err := b.writeFile(path.Join(entry.Directory, file.name), raw); err != nil {
			return err
		}
		entry.Files = append(entry.Files, file.name)
	}
	b.manifest.Processes = append(b.manifest.Processes, entry)
	return nil
}

// maskFiles masks the JSON files by member names first and then replaces the known
// secrets in all files: a secret found by its name in one file may appear without
// that name in another.
func maskFiles(m *masker, files []collectedFile) []collectedFile {
	out := make([]collectedFile, len(files))
	for i, file := range files {
		out[i] = file
		if path.Ext(file.name) == ".json" {
			out[i].raw = m.maskJSON(file.raw)
		}
	}
	for i := range out {
		out[i].raw = m.maskText(out[i].raw)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (b *bundle) writeFile(name string, raw []byte) error {
	header := &tar.Header{Name: name, Mode: fileMode, Size: int64(len(raw)), ModTime: b.manifest.MadeAt, Format: tar.FormatPAX}
	if err := b.tar.WriteHeader(header); err != nil {
		return err
	}
	b.bytes += len(raw)
	_, err := b.tar.Write(raw)
	return err
}
