package daemon

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/go-kit/log"

	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/node"
	"github.com/pearyard/pearyard/settings"
)

// Router runs pearyard-router and returns its exit code.
func Router(args []string, stdout, stderr io.Writer) int {
	defaults := settings.DefaultRouter()
	return Main(Spec{
		Name:     "pearyard-router",
		Usage:    "serves callers on an entry VM",
		Defaults: &defaults,
		Start: func(sources settings.Sources) (any, findings.List, func(context.Context, log.Logger) error) {
			s, found := settings.LoadRouter(sources)
			return &s, found, func(ctx context.Context, logger log.Logger) error { return serveRouter(ctx, s, stdout, logger) }
		},
		Level: func(loaded any) string { return loaded.(*settings.Router).LogLevel },
	}, args, stdout, stderr)
}

func serveRouter(ctx context.Context, s settings.Router, stdout io.Writer, logger log.Logger) error {
	common, err := Common(s.Common, logger)
	if err != nil {
		return err
	}
	callers, err := Listen(s.Listen)
	if err != nil {
		return err
	}
	var adminListener net.Listener
	if s.AdminListen != "" {
		if adminListener, err = Listen(s.AdminListen); err != nil {
			return err
		}
	}
	router, err := node.NewRouter(node.RouterOptions{
		Common: common, Callers: callers, Admin: adminListener, AdminToken: s.AdminToken, Policy: s.Policy,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "listening callers=%s peers=%s", callers.Addr(), common.Peers.Addr())
	if adminListener != nil {
		fmt.Fprintf(stdout, " admin=%s", adminListener.Addr())
	}
	fmt.Fprintln(stdout)
	return router.Run(ctx)
}
