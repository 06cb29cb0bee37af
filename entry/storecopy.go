package entry

import "github.com/pearyard/pearyard/platform"

// reportEra logs that the store names another era, and has this process catch up with what
// the store may lack.
func (e *Entry) reportEra(c platform.EraChange) {
	e.recorder.Emit(EventStoreEra, "era", c.Era, "was", c.Known, "config_position", e.configHolder.Position(), "list_position", e.directory.View().Position)
	e.fleet.EraChanged()
}
