// Package catalogue imports every package that defines events, so that a
// program which imports it knows all of them. A package that defines its first
// event is added here; the test finds one that is missing.
package catalogue

import (
	_ "github.com/pearyard/pearyard/admin"
	_ "github.com/pearyard/pearyard/claim"
	_ "github.com/pearyard/pearyard/config"
	_ "github.com/pearyard/pearyard/directory"
	_ "github.com/pearyard/pearyard/entry"
	_ "github.com/pearyard/pearyard/exchange"
	_ "github.com/pearyard/pearyard/fleet"
	_ "github.com/pearyard/pearyard/gate"
	_ "github.com/pearyard/pearyard/inbound"
	_ "github.com/pearyard/pearyard/lease"
	_ "github.com/pearyard/pearyard/limit"
	_ "github.com/pearyard/pearyard/membership"
	_ "github.com/pearyard/pearyard/order"
	_ "github.com/pearyard/pearyard/retry"
	_ "github.com/pearyard/pearyard/route"
	_ "github.com/pearyard/pearyard/router"
	_ "github.com/pearyard/pearyard/settings"
	_ "github.com/pearyard/pearyard/sidecar"
	_ "github.com/pearyard/pearyard/site"
	_ "github.com/pearyard/pearyard/suspect"
	_ "github.com/pearyard/pearyard/tokenlog"
)
