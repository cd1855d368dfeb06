package main

import "time"

// unkept: the store answers nothing for two seconds; an upstream deregisters meanwhile and gets its confirmation; the process
// beside it is killed and starts again. One status report of before arrives late. The rule is DRAIN.
func unkept(r *rig) (bool, error) {
	s, err := newScene(r, 1)
	if err != nil {
		return false, err
	}
	if r.trouble {
		r.store.goDown(true, false)
		r.record.line("the store answers nothing")
	}
	time.Sleep(200 * time.Millisecond)
	if err := s.leave(); err != nil {
		return false, err
	}
	inTouch := s.confirmed
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		if err := s.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(700 * time.Millisecond)
	if r.trouble {
		r.store.goDown(false, false)
		r.record.line("the store answers again")
		if err := awaitReady([]*node{s.machine}, 10*time.Second); err != nil {
			return false, err
		}
		r.record.line("%s is ready", s.machine.name)
		inTouch = time.Now().Add(stableWindow)
	}
	time.Sleep(500 * time.Millisecond)
	s.releaseReports()
	return s.judge(inTouch), nil
}

// lapsed: an upstream deregisters and gets its confirmation; the store is down for a second and leases run out meanwhile;
// later the process beside the upstream is killed and starts again. One status report of before arrives late. The rule is DRAIN.
func lapsed(r *rig) (bool, error) {
	s, err := newScene(r, 1)
	if err != nil {
		return false, err
	}
	if err := s.leave(); err != nil {
		return false, err
	}
	inTouch := s.confirmed
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		r.store.goDown(true, true)
		r.record.line("the store answers nothing, and leases run out")
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.store.goDown(false, false)
		r.record.line("the store answers again")
		time.Sleep(200 * time.Millisecond)
		if err := s.restart(); err != nil {
			return false, err
		}
		if err := awaitReady([]*node{s.machine}, 10*time.Second); err != nil {
			return false, err
		}
		r.record.line("%s is ready", s.machine.name)
		inTouch = time.Now().Add(stableWindow)
	} else {
		time.Sleep(time.Second)
	}
	s.releaseReports()
	return s.judge(inTouch), nil
}
