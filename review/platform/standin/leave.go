package main

import (
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "leave", after the acknowledgement of the leave.
const (
	killAfter     = 300 * time.Millisecond // KILL_AFTER_MS in the environment replaces it
	restartDelay  = 300 * time.Millisecond // of a process that was killed
	leafExitAfter = 10 * time.Second       // drain_period_ms and some seconds more
	leaveWork     = time.Second
	leaveEvery    = 100 * time.Millisecond
	// touchMargin is added to the time from which the restarted node counts as in touch.
	touchMargin = 500 * time.Millisecond
)

// playLeave lets a leaf leave by DELETE. Then one frontend process and the control process
// that acknowledged the leave are killed at the same moment, and start again.
func playLeave(wo *world) (bool, error) {
	if err := wo.configure(7); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	staying, err := wo.startLeaf("i-stays", 20)
	if err != nil {
		return false, err
	}
	leaving, err := wo.startLeaf("i-leaves", 21)
	if err != nil {
		return false, err
	}
	go staying.beatAlways(wo.controls, stop)
	stopBeats := make(chan struct{})
	next := make(chan *node, 1)
	go func() { next <- leaving.beatAlways(wo.controls, stopBeats) }()
	err = wo.awaitBothServe(staying, leaving)
	close(stopBeats)
	killed := <-next
	if err != nil {
		return false, err
	}
	if !leaving.leave(killed) {
		wo.rc.add("%s doesn't acknowledge the leave", killed.name)
	}
	acked := time.Now()
	wo.rc.add("%s acknowledges that %s leaves", killed.name, leaving.id)
	started := acked
	if wo.trouble {
		time.Sleep(time.Until(acked.Add(killDelay(killAfter))))
		wo.signal(killed, syscall.SIGKILL)
		wo.signal(wo.fronts[0], syscall.SIGKILL)
		<-killed.ended
		<-wo.fronts[0].ended
		time.Sleep(restartDelay)
		for _, no := range []*node{killed, wo.fronts[0]} {
			if err := wo.startNode(no, false); err != nil {
				return false, err
			}
		}
		started = time.Now()
	}
	ats := wo.sendUntilExit(leaving, acked.Add(leafExitAfter))
	return wo.judgeLeave(leaving, acked, started.Add(contactWindow+touchMargin), ats), nil
}

// sendUntilExit sends requests to the first frontend node until the leaving leaf exits.
func (wo *world) sendUntilExit(leaving *leaf, exit time.Time) []attempt {
	var mu sync.Mutex
	var ats []attempt
	var wg sync.WaitGroup
	time.AfterFunc(time.Until(exit), func() {
		wo.rc.add("%s exits", leaving.id)
		leaving.exit()
	})
	for ; time.Now().Before(exit); time.Sleep(leaveEvery) {
		wg.Go(func() {
			at := wo.post(wo.fronts[0], leaveWork)
			mu.Lock()
			defer mu.Unlock()
			ats = append(ats, at)
		})
	}
	wg.Wait()
	return ats
}

// judgeLeave applies the rule DRAIN: a request reaches a leaf later than drain_period_ms
// after a machine in touch acknowledged that the leaf is gone, taken from the client and
// sent on by machines in touch.
func (wo *world) judgeLeave(leaving *leaf, acked, inTouch time.Time, ats []attempt) bool {
	late, lost := 0, 0
	for _, at := range ats {
		ru, ran := leaving.findRun(at.id)
		if !ran || at.sentAt.Before(inTouch) || ru.at.Before(acked.Add(drainPeriod)) {
			continue
		}
		late++
		if !ru.answer {
			lost++
			wo.rc.add("DRAIN: %s reached %s %.3f s after the acknowledgement, was sent %.3f s after the machine was in touch again, and is lost: the client got status %d",
				at.id, leaving.id, ru.at.Sub(acked).Seconds(), at.sentAt.Sub(inTouch).Seconds(), at.status)
		}
	}
	wo.rc.add("DRAIN: %d requests reached %s later than %v after the acknowledgement, sent by a machine in touch; %d of them were cut when it exited", late, leaving.id, drainPeriod, lost)
	return late > 0
}

// awaitBothServe waits until both leafs have got requests and all nodes have been in touch
// for the whole window.
func (wo *world) awaitBothServe(les ...*leaf) error {
	if err := wo.awaitReady(); err != nil {
		return err
	}
	for _, le := range les {
		served := func() bool {
			wo.post(wo.fronts[0], 10*time.Millisecond)
			le.mu.Lock()
			defer le.mu.Unlock()
			return len(le.runs) > 0
		}
		if err := await("requests reach "+le.id, 10*time.Second, served); err != nil {
			return err
		}
	}
	time.Sleep(contactWindow + 500*time.Millisecond)
	return nil
}

// killDelay returns how long after the acknowledgement processes are killed.
func killDelay(usual time.Duration) time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("KILL_AFTER_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return usual
}
