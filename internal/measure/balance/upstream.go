package main

import (
	"math"
	"time"
)

// admit queues a call at the node beside an upstream or refuses it, as reducer/admission.go does in short.
func (w *world) admit(j *job) {
	u := j.to
	u.decay(w.now)
	left := j.route.timeout - (w.now - j.arrived)
	if u.wait(j.route.priority, w.slots)+u.byRoute[j.routeIndex] > left {
		w.answer(j, false)
		return
	}
	j.queued, j.cost = w.now, u.byRoute[j.routeIndex]
	u.arrived[j.route.priority] += j.cost.Seconds()
	u.waiting[j.route.priority] = append(u.waiting[j.route.priority], j)
	w.start(u)
}

// start gives free slots to queued calls, the most urgent first.
func (w *world) start(u *upstream) {
	for p := 0; p < len(u.waiting) && u.running < w.slots; {
		if len(u.waiting[p]) == 0 {
			p++
			continue
		}
		j := u.waiting[p][0]
		u.waiting[p] = u.waiting[p][1:]
		if w.now-j.arrived+u.byRoute[j.routeIndex] > j.route.timeout {
			w.answer(j, false)
			continue
		}
		w.execute(u, j)
	}
}

func (w *world) execute(u *upstream, j *job) {
	j.started = w.now
	took := time.Duration(float64(j.work) / u.speed)
	if u.slow {
		took = time.Duration(float64(took) * slowFactor)
	}
	if w.now >= w.warmUp {
		w.result.waits = append(w.result.waits, w.now-j.queued)
	}
	u.running++
	u.runningCost += j.cost
	w.after(took, func() {
		u.running--
		u.runningCost -= j.cost
		u.busy += took
		step(&u.mean, took)
		step(&u.byRoute[j.routeIndex], took)
		w.answer(j, true)
		w.start(u)
	})
}

func step(mean *time.Duration, took time.Duration) {
	if *mean <= time.Millisecond {
		*mean = took
		return
	}
	*mean += time.Duration(serviceStep * float64(took-*mean))
}

func (u *upstream) decay(now time.Duration) {
	factor := math.Exp(-(now - u.arrivedAt).Seconds() / arrivalDecay)
	u.arrivedAt = now
	for p := range u.arrived {
		u.arrived[p] *= factor
	}
}

func (u *upstream) queued() (count int) {
	for p := range u.waiting {
		count += len(u.waiting[p])
	}
	return count
}

// wait estimates the wait of a new call, as reducer/estimate.go does without minimum shares.
func (u *upstream) wait(priority, slots int) time.Duration {
	if u.running < slots && u.queued() == 0 {
		return 0
	}
	rate, ahead := float64(slots), u.runningCost.Seconds()/float64(max(u.running, 1))
	for p := 0; p <= priority; p++ {
		for _, j := range u.waiting[p] {
			ahead += j.cost.Seconds()
		}
		if p < priority {
			rate -= u.arrived[p] / arrivalDecay
		}
	}
	if rate <= 0 {
		return time.Hour
	}
	return min(seconds(ahead/rate), time.Hour)
}

func (u *upstream) load(w *world) report {
	u.decay(w.now)
	r := report{service: u.mean, running: u.running, queued: u.queued()}
	for i := range w.routes {
		p := w.routes[i].priority
		r.waits[p] = u.wait(p, w.slots)
		if s := u.byRoute[i]; s > 0 && (r.services[p] == 0 || s < r.services[p]) {
			r.services[p] = s
		}
	}
	return r
}
