// Command pearyard-router serves callers on an entry VM.
package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/go-kit/log"

	"github.com/pearyard/pearyard/daemon"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/node"
	"github.com/pearyard/pearyard/settings"
)

func main() {
	os.Exit(daemon.Main(daemon.Spec{
		Name:     "pearyard-router",
		Usage:    "serves callers on an entry VM",
		Defaults: settings.DefaultRouter(),
		Start: func(sources settings.Sources) (any, findings.List, func(context.Context, log.Logger) error) {
			s, found := settings.LoadRouter(sources)
			return s, found, func(ctx context.Context, logger log.Logger) error { return serve(ctx, s, logger) }
		},
		Level: func(loaded any) string { return loaded.(settings.Router).LogLevel },
	}, os.Args, os.Stdout, os.Stderr))
}

func serve(ctx context.Context, s settings.Router, logger log.Logger) error {
	common, err := daemon.Common(s.Common, logger)
	if err != nil {
		return err
	}
	callers, err := daemon.Listen(s.Listen)
	if err != nil {
		return err
	}
	var operators net.Listener
	if s.AdminListen != "" {
		if operators, err = daemon.Listen(s.AdminListen); err != nil {
			return err
		}
	}
	router, err := node.NewRouter(node.RouterOptions{
		Common: common, Callers: callers, Admin: operators, AdminToken: s.AdminToken, Policy: s.Policy,
	})
	if err != nil {
		return err
	}
	fmt.Printf("listening callers=%s peers=%s", callers.Addr(), common.Peers.Addr())
	if operators != nil {
		fmt.Printf(" admin=%s", operators.Addr())
	}
	fmt.Println()
	return router.Run(ctx)
}
