package upstream

import (
	"time"
)

// kindAt is a kind of requests at an instance; an empty id stands for all.
type kindAt struct {
	id, kind string
}

// work returns the mean time of a run of a kind at an instance, or that at all
// instances where it was not seen there.
func (p *Balancer[P]) work(id, kind string) time.Duration {
	if w, ok := p.works.Get(kindAt{id: id, kind: kind}); ok {
		return w
	}
	if w, ok := p.works.Get(kindAt{kind: kind}); ok {
		return w
	}
	return typicalWork
}

// size returns the bytes of a request with the answer that its kind has.
func (p *Balancer[P]) size(r Request) int {
	answer, _ := p.sizes.Get(r.kind)
	return headSize + r.size + answer
}

// RecordResponseSize notes the size in bytes of the answer to a request.
func (p *Balancer[P]) RecordResponseSize(r Request, answer int) {
	p.sizes.Update(r.kind, func(mean int, ok bool) (int, bool) {
		if !ok {
			return answer, true
		}
		return mean + int(float64(answer-mean)*learnWeight), true
	})
}

// FailsEverywhere says whether answers to a kind of requests fail so often at all
// instances that sending one to another instance would add load and little else.
func (p *Balancer[P]) FailsEverywhere(r Request) bool {
	share, _ := p.failing.Get(r.kind)
	return share > failingMost
}

func (p *Balancer[P]) learnFailing(kind string, e AttemptResult) {
	if e != Succeeded && e != Failed {
		return
	}
	p.failing.Update(kind, func(share float64, _ bool) (float64, bool) {
		share *= 1 - failingWeight
		if e == Failed {
			share += failingWeight
		}
		return share, true
	})
}

func (p *Balancer[P]) learnWork(id, kind string, work time.Duration) {
	if work <= 0 {
		return
	}
	p.works.Put(kindAt{id: id, kind: kind}, work)
	p.works.Update(kindAt{kind: kind}, func(mean time.Duration, ok bool) (time.Duration, bool) {
		if !ok {
			return work, true
		}
		return mean + time.Duration(float64(work-mean)*learnWeight), true
	})
}
