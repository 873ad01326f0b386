package sidecar

import (
	"slices"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Reload applies changed settings: the seeds, and the bounds that are read when the
// daemon stops. It logs the names of changed settings that need a restart.
func (d *Daemon) Reload(s *schema.Sidecar) {
	old := d.currentSettings.Swap(s)
	var restart []string
	for name, pair := range map[string][2]string{
		"service":  {old.GetService(), s.GetService()},
		"centre":   {old.GetCentre(), s.GetCentre()},
		"backend":  {old.GetBackend(), s.GetBackend()},
		"outbound": {old.GetOutbound(), s.GetOutbound()},
		"inbound":  {old.GetInbound(), s.GetInbound()},
		"ready":    {old.GetReady(), s.GetReady()},
		"control":  {old.GetControl(), s.GetControl()},
		"store":    {old.GetStore(), s.GetStore()},
	} {
		if pair[0] != pair[1] {
			restart = append(restart, name)
		}
	}
	slices.Sort(restart)
	list := seedHosts(s)
	d.gossiper.seeds.Store(&list)
	d.events.stateChange("reload", "seeds", list, "grace", s.GetBounds().GetGrace().AsDuration().String(),
		"takes a new start", restart)
}

// ReloadFailed records that changed settings can't be read. The current settings stay
// in force.
func (d *Daemon) ReloadFailed(err error) {
	d.events.stateChange("invalid settings ignored", "error", err.Error())
}
