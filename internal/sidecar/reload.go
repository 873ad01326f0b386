package sidecar

import (
	"slices"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// Reload takes on changed settings: the seeds, and the bounds that count when the
// daemon stops. It logs what takes a new start.
func (d *Daemon) Reload(s *schema.Sidecar) {
	old := d.current.Swap(s)
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
	list := seeds(s)
	d.gossiper.seeds.Store(&list)
	d.events.belief("reload", "seeds", list, "grace", s.GetBounds().GetGrace().AsDuration().String(),
		"takes a new start", restart)
}

// Refused notes that changed settings cannot be read; those before hold.
func (d *Daemon) Refused(err error) { d.events.belief("settings refused", "error", err.Error()) }
