package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/go-kit/log"

	enginehttp "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/node"
	plainhttp "github.com/pearyard/pearyard/plain/httpapi"
	"github.com/pearyard/pearyard/settings"
	"github.com/pearyard/pearyard/text"
)

// Sidecar runs pearyard-sidecar and returns its exit code.
func Sidecar(args []string, stdout, stderr io.Writer) int {
	defaults := settings.DefaultSidecar()
	return Main(Spec{
		Name:     "pearyard-sidecar",
		Usage:    "guards the backend server beside it",
		Defaults: &defaults,
		Start: func(sources settings.Sources) (any, findings.List, func(context.Context, log.Logger) error) {
			s, found := settings.LoadSidecar(sources)
			return &s, found, func(ctx context.Context, logger log.Logger) error { return serveSidecar(ctx, s, stdout, logger) }
		},
		Level: func(loaded any) string { return loaded.(*settings.Sidecar).LogLevel },
	}, args, stdout, stderr)
}

func serveSidecar(ctx context.Context, s settings.Sidecar, stdout io.Writer, logger log.Logger) error {
	common, err := Common(s.Common, logger)
	if err != nil {
		return err
	}
	opts := node.SidecarOptions{Common: common, BackendServer: s.BackendServer, JournalBytes: s.JournalMegabytes << 20}
	if s.Kind == text.KindModel {
		opts.Engine = enginehttp.New(enginehttp.Options{Address: s.Backend})
	} else {
		opts.Plain = plainhttp.New(plainhttp.Options{Address: s.Backend})
	}
	sidecar, err := node.NewSidecar(opts)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "listening peers=%s\n", common.Peers.Addr())
	return sidecar.Run(ctx)
}
