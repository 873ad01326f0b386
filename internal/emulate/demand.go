package emulate

import (
	"math"
	"time"

	"github.com/lycheehead/lycheehead/internal/schema"
)

// demand is the current rate of the callers' requests relative to the plan's.
type demand struct {
	wave    *schema.EmulatedWave
	centres []string
	// bursts are the bursts in progress.
	bursts []*schema.EmulatedTrouble
}

// peak returns an upper bound of factor over all data centres.
func (d *demand) peak(class string) float64 {
	peak := 1.0
	if d.wave != nil {
		peak = d.wave.GetHigh()
	}
	for _, b := range d.bursts {
		switch {
		case b.GetClass() != "" && b.GetClass() != class:
		case b.GetCentre() == "":
			peak *= b.GetFactor()
		default:
			peak *= max(1, b.GetFactor())
		}
	}
	return peak
}

// factor returns the factor by which the rate of a class differs from the plan's in a data
// centre, a given time after the start.
func (d *demand) factor(elapsed time.Duration, class, centre string) float64 {
	factor := 1.0
	if d.wave != nil {
		factor = d.waveFactor(elapsed, centre)
	}
	for _, b := range d.bursts {
		if (b.GetClass() == "" || b.GetClass() == class) && (b.GetCentre() == "" || b.GetCentre() == centre) {
			factor *= b.GetFactor()
		}
	}
	return factor
}

func (d *demand) waveFactor(elapsed time.Duration, centre string) float64 {
	phase := elapsed.Seconds() / d.wave.GetPeriod().AsDuration().Seconds()
	for n, name := range d.centres {
		if name == centre {
			phase += float64(n) / float64(len(d.centres))
		}
	}
	low, high := d.wave.GetLow(), d.wave.GetHigh()
	return (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*phase)
}

// scheduleEpisode schedules the next episode in which a backend server is slow, until the end
// of the plan. The times between two episodes vary between half and one and a half times their
// mean.
func (d *daemon) scheduleEpisode(end time.Time) {
	e := d.service.GetEpisodes()
	interval := e.GetInterval().AsDuration()
	slow := time.Duration(e.GetShare() * float64(interval))
	gap := time.Duration((0.5 + d.sim.rng.Float64()) * float64(interval-slow))
	d.sim.after(gap, func() {
		if !d.sim.now.Before(end) {
			return
		}
		d.episode = e.GetFactor()
		d.sim.after(slow, func() {
			d.episode = 1
			d.scheduleEpisode(end)
		})
	})
}
