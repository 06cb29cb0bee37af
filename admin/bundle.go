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
	bundleTexts    = 10        // newest revisions whose texts go in
	bundleMaxBytes = 512 << 20 // before compression; what is over it is named in the manifest
	fileMode       = 0o600     // as unpacked: a bundle is for its reader only
)

// Names of the files of a bundle. Those of a process are in processes/<process>/.
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
	dirTexts       = "texts"
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
	Problems  []string          `json:"problems"` // of the parts that are no process's
	Processes []ManifestProcess `json:"processes"`
}

// ManifestProcess says what came of asking one process.
type ManifestProcess struct {
	Process       string            `json:"process"`
	Role          string            `json:"role"`
	Zone          string            `json:"zone"`
	State         string            `json:"state"`
	Directory     string            `json:"directory"`
	Files         []string          `json:"files"`
	Failed        map[string]string `json:"failed,omitempty"`    // file to reason
	Truncated     []string          `json:"truncated,omitempty"` // files cut at their bound
	ClockOffsetMS float64           `json:"clock_offset_ms"`     // its clock less the asking router's
	ClockErrorMS  float64           `json:"clock_error_ms"`
}

// serveBundle streams the bundle. One that can't be ended is cut off, so that
// its reader sees a broken transfer and never takes a part for the whole.
func (s *Server) serveBundle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/gzip")
	if err := s.WriteBundle(r.Context(), w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// WriteBundle writes the bundle as a tar.gz. It holds one process's files in
// memory per process asked at once.
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

// bundle is one being written. Texts come first: their secrets are then known
// to the masker when dumps and events are written.
type bundle struct {
	server   *Server
	tar      *tar.Writer
	masker   *masker
	manifest Manifest
	bytes    int
}

func (b *bundle) write(ctx context.Context) error {
	if err := b.file(fileReadme, []byte(bundleReadme)); err != nil {
		return err
	}
	if err := b.texts(ctx); err != nil {
		return err
	}
	if err := b.status(ctx); err != nil {
		return err
	}
	if err := b.processes(ctx); err != nil {
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
	return b.file(fileManifest, b.masker.plain(raw))
}

// texts writes the texts and the history; with the store down, what is in force here.
func (b *bundle) texts(ctx context.Context) error {
	inForce := b.server.opts.InForce()
	if inForce.Revision != 0 {
		if err := b.file(textFile("in-force", inForce), b.masker.json(inForce.Raw)); err != nil {
			return err
		}
	}
	history, err := b.server.opts.Texts.History(ctx, MaxHistory)
	if err != nil {
		b.problem("history", err)
		return nil
	}
	resp := &adminpb.HistoryResponse{}
	for i, text := range history {
		if i < bundleTexts {
			if err := b.text(ctx, text); err != nil {
				return err
			}
		}
		text.Raw = nil
		resp.Revisions = append(resp.Revisions, textPB(text))
	}
	return b.message(fileHistory, resp)
}

func textFile(kind string, text Text) string {
	return path.Join(dirTexts, fmt.Sprintf("%s-%08d.json", kind, text.Revision))
}

func (b *bundle) text(ctx context.Context, text Text) error {
	loaded, err := b.server.opts.Texts.Load(ctx, text.Revision)
	if err != nil {
		b.problem(fmt.Sprintf("text of revision %d", text.Revision), err)
		return nil
	}
	return b.file(textFile("accepted", loaded), b.masker.json(loaded.Raw))
}

func (b *bundle) problem(what string, err error) {
	b.manifest.Problems = append(b.manifest.Problems, what+": "+err.Error())
}

func (b *bundle) status(ctx context.Context) error {
	status, err := b.server.Status(ctx, &adminpb.StatusRequest{})
	if err != nil {
		b.problem(fileStatus, err)
		return nil
	}
	return b.message(fileStatus, status)
}

func (b *bundle) message(name string, m proto.Message) error {
	raw, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	return b.file(name, b.masker.plain(raw))
}

func (b *bundle) processes(ctx context.Context) error {
	unanswered := 0
	members := b.server.members()
	err := gather(ctx, b.server.opts.Parallel, members, b.server.collect, func(m Member, got collected) error {
		if len(got.failed) > 0 {
			unanswered++
		}
		return b.process(m, got)
	})
	b.server.noteUnanswered("bundle", unanswered)
	return err
}

// process writes the files of one process.
func (b *bundle) process(m Member, got collected) error {
	entry := ManifestProcess{
		Process:       string(m.Process),
		Role:          string(m.Role),
		Zone:          string(m.Zone),
		State:         string(m.State),
		Directory:     path.Join(dirProcesses, url.PathEscape(string(m.Process))),
		Failed:        got.failed,
		Truncated:     got.truncated,
		ClockOffsetMS: milliseconds(got.clock.offset),
		ClockErrorMS:  milliseconds(got.clock.bound),
	}
	for _, file := range maskFiles(b.masker.child(), got.files) {
		raw := file.raw
		if b.bytes+len(raw) > bundleMaxBytes {
			entry.Failed[file.name] = fmt.Sprintf("left out: the bundle is over %d bytes", bundleMaxBytes)
			continue
		}
		if err := b.file(path.Join(entry.Directory, file.name), raw); err != nil {
			return err
		}
		entry.Files = append(entry.Files, file.name)
	}
	b.manifest.Processes = append(b.manifest.Processes, entry)
	return nil
}

// maskFiles masks the JSON files first and searches all files after that: a
// secret that one file names may stand without its name in another.
func maskFiles(m *masker, files []collectedFile) []collectedFile {
	out := make([]collectedFile, len(files))
	for i, file := range files {
		out[i] = file
		if path.Ext(file.name) == ".json" {
			out[i].raw = m.json(file.raw)
		}
	}
	for i := range out {
		out[i].raw = m.plain(out[i].raw)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (b *bundle) file(name string, raw []byte) error {
	header := &tar.Header{Name: name, Mode: fileMode, Size: int64(len(raw)), ModTime: b.manifest.MadeAt, Format: tar.FormatPAX}
	if err := b.tar.WriteHeader(header); err != nil {
		return err
	}
	b.bytes += len(raw)
	_, err := b.tar.Write(raw)
	return err
}
