package directory

import "time"

// IdleShare returns which part of a service's sound servers runs no stream.
func (d *Directory) IdleShare(service string, now time.Time) float64 {
	sound, idle := 0, 0
	for _, s := range d.view.Load().Service(service) {
		if s.Draining() || s.IsDown(now) {
			continue
		}
		sound++
		if s.streams.Load()+s.otherStreams.Load() == 0 {
			idle++
		}
	}
	if sound == 0 {
		return 0
	}
	return float64(idle) / float64(sound)
}
