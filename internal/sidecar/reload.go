package sidecar

import (
	"slices"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Reload applies changes of the seeds and of the grace time. It logs the names of changed
// settings that need a restart.
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
	seeds := seedIPs(s)
	d.gossiper.seeds.Store(&seeds)
	d.events.stateChange("reload", "seeds", seeds, "grace", s.GetBounds().GetGrace().AsDuration().String(),
		"takes a new start", restart)
}

// ReloadFailed logs that changed settings could not be read. The current settings stay in
// effect.
func (d *Daemon) ReloadFailed(err error) {
	d.events.stateChange("invalid settings ignored", "error", err.Error())
}

// ItemSkipped logs and counts an item of the store that was skipped because its key or its
// revision could not be read.
func (d *Daemon) ItemSkipped(size int, err error) {
	d.events.stateChange("store item skipped", "bytes", size, "error", err.Error())
	d.state.rejectedItems.Add(1)
}
