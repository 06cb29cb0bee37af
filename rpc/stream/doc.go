// Package streampb holds the token path between routers and sidecars and the calls that
// go with it, and the framing of its streams.
package streampb
