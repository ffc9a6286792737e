package main

import (
	"syscall"
	"time"
)

// powerExitAfter is when the leaf exits, after the acknowledgement of its leave.
const powerExitAfter = 8 * time.Second

// playPower lets a leaf leave by DELETE, and kills the control process as soon as the leaf
// has its acknowledgement. The leaf has always announced itself to that node. No frontend
// process is disturbed. KILL_AFTER_MS delays the kill, to see how long the window is.
func playPower(wo *world) (bool, error) {
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
	killed := wo.controls[2]
	go staying.beatAlways(wo.controls[:2], stop)
	stopBeats := make(chan struct{})
	next := make(chan *node, 1)
	go func() { next <- leaving.beatAlways([]*node{killed}, stopBeats) }()
	err = wo.awaitBothServe(staying, leaving)
	close(stopBeats)
	<-next
	if err != nil {
		return false, err
	}
	delay := killDelay(0)
	if !leaving.leave(killed) {
		wo.rc.add("%s doesn't acknowledge the leave", killed.name)
	}
	acked := time.Now()
	if wo.trouble {
		time.Sleep(delay)
		_ = killed.cm.Process.Signal(syscall.SIGKILL)
	}
	wo.rc.add("%s has acknowledged that %s leaves", killed.name, leaving.id)
	started := acked
	if wo.trouble {
		<-killed.ended
		wo.rc.add("%s was killed %v after that", killed.name, delay)
		time.Sleep(restartDelay)
		if err := wo.startNode(killed, false); err != nil {
			return false, err
		}
		started = time.Now()
	}
	ats := wo.sendUntilExit(leaving, acked.Add(powerExitAfter))
	return wo.judgeLeave(leaving, acked, started.Add(contactWindow+touchMargin), ats), nil
}
