package trail

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/timer"
)

// noteDelay is how long lines that are left out are counted before that is said.
const noteDelay = time.Second

// wholeBytes is how much a pipe takes without cutting it (PIPE_BUF on Linux).
const wholeBytes = 4096

// ErrStalled says that the reader of the log didn't take all of it in time.
var ErrStalled = errors.New("trail: the reader of the log takes nothing")

// Stats count what became of lines since the start.
type Stats struct {
	Written uint64 // Written counts lines that were queued and are or will be written.
	LeftOut uint64 // LeftOut counts lines beyond the rate of their event.
	Dropped uint64 // Dropped counts lines that found the queue full.
	Failed  uint64 // Failed counts writes that ended with an error; their lines are lost.
}

// Writer queues lines and writes them in batches, at most one at a time, each on
// a goroutine that exists only while it writes: a process that logs nothing has
// no timer and no goroutine for its log.
type Writer struct {
	out io.Writer
	cf  Config
	ts  *timer.Service
	en  zapcore.Encoder // en encodes the log's own lines.

	mu      sync.Mutex
	quiet   buckets
	loud    buckets
	queue   []byte // queue holds whole lines that wait.
	spare   []byte // spare is the buffer of the last batch, empty.
	writing int    // writing is the size of the batch that is being written.
	busy    bool   // busy says that a goroutine writes.
	armed   bool   // armed says that a write is due.
	closed  bool
	due     *timer.Timeout
	noting  bool // noting says that a note of left-out lines is due.
	note    *timer.Timeout
	idle    chan struct{} // idle is closed when all is written; nil if nobody waits.
	taken   chan struct{} // taken is closed when what is in queue now is written; nil if nobody waits.
	stalled bool          // stalled says that a wait for the batch being written was given up.
	dropped dropped
	st      Stats
}

// dropped counts what found the queue full since the last line that didn't.
type dropped struct {
	lines, bytes uint64
}

func newWriter(out io.Writer, cf Config, ts *timer.Service, en zapcore.Encoder) *Writer {
	return &Writer{
		out: out, cf: cf, ts: ts, en: en,
		quiet: newBuckets(cf.Rate), loud: newBuckets(cf.WarnRate),
	}
}

// Stats returns the counts since the start.
func (wr *Writer) Stats() Stats {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return wr.st
}

// WriteMetrics writes the counts since the start in the Prometheus text format.
func (wr *Writer) WriteMetrics(out io.Writer) {
	st := wr.Stats()
	for _, co := range []struct {
		name  string
		count uint64
	}{
		{"balsamwinch_log_lines_total", st.Written},
		{"balsamwinch_log_lines_left_out_total", st.LeftOut},
		{"balsamwinch_log_lines_dropped_total", st.Dropped},
		{"balsamwinch_log_writes_failed_total", st.Failed},
	} {
		fmt.Fprintf(out, "%s %d\n", co.name, co.count)
	}
}

// Flush writes what is queued without waiting for more, and returns once that is
// done, or ErrStalled after Config.CloseWithin.
func (wr *Writer) Flush() error {
	wr.mu.Lock()
	if len(wr.queue) == 0 && !wr.busy {
		wr.mu.Unlock()
		return nil
	}
	if wr.idle == nil {
		wr.idle = make(chan struct{})
	}
	idle := wr.idle
	wr.start()
	wr.mu.Unlock()
	stalled := make(chan struct{})
	defer wr.ts.Timeout(wr.cf.CloseTimeout, func() { close(stalled) }).Stop()
	select {
	case <-idle:
		return nil
	case <-stalled:
		return ErrStalled
	}
}

// Close says what was left out and writes all that is queued, at once. Lines that
// come later are lost. The error is ErrStalled if the reader didn't take all
// within Config.CloseWithin.
func (wr *Writer) Close() error {
	wr.mu.Lock()
	if !wr.closed {
		wr.noteLeftOut()
		wr.closed = true
	}
	if wr.note != nil {
		wr.note.Stop()
	}
	wr.mu.Unlock()
	return wr.Flush()
}

// admit reports whether a line is within the rate of its event.
func (wr *Writer) admit(ent zapcore.Entry) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	bs := &wr.quiet
	if ent.Level >= zapcore.WarnLevel {
		bs = &wr.loud
	}
	if bs.take(ent) {
		return true
	}
	wr.st.LeftOut++
	wr.armNote()
	return false
}

// armNote makes the lines that are left out be said after noteDelay.
func (wr *Writer) armNote() {
	switch {
	case wr.noting || wr.closed:
		return
	case wr.note == nil:
		wr.note = wr.ts.Timeout(noteDelay, wr.noteDue)
	default:
		wr.note.Reset(noteDelay)
	}
	wr.noting = true
}

func (wr *Writer) noteDue() {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.noting = false
	switch {
	case wr.closed:
	case wr.full(0):
		// A reader that has stopped for good takes no notes either: each second's
		// would make the queue grow without end. The counts wait for room.
		wr.armNote()
	default:
		wr.noteLeftOut()
	}
}

// full reports whether the queue has no room for so many bytes.
func (wr *Writer) full(size int) bool {
	return len(wr.queue)+wr.writing+size > wr.cf.QueueBytes
}

// noteLeftOut queues a line for each event of which lines were left out.
func (wr *Writer) noteLeftOut() {
	for _, bs := range []*buckets{&wr.quiet, &wr.loud} {
		var names []string
		for name, bu := range bs.byEvent {
			if bu.leftOut > 0 {
				names = append(names, name)
			}
		}
		slices.SortFunc(names, strings.Compare)
		for _, name := range names {
			bu := bs.byEvent[name]
			wr.own(zapcore.InfoLevel, eventLeftOut, zap.String("Of", name), zap.Uint64("Count", bu.leftOut))
			bu.leftOut = 0
		}
	}
}

// noteDropped queues a line that says what found the queue full. It takes the
// place of those lines.
func (wr *Writer) noteDropped() {
	if wr.dropped.lines == 0 {
		return
	}
	dr := wr.dropped
	wr.dropped = dropped{}
	wr.own(zapcore.WarnLevel, eventDropped, zap.Uint64("Count", dr.lines), zap.Uint64("Bytes", dr.bytes))
}

// own queues a line about the log itself. It may pass the queue's bound: there
// is at most one for each event, and then none until the queue has room again.
func (wr *Writer) own(level zapcore.Level, event string, fs ...zapcore.Field) {
	bu, err := wr.en.EncodeEntry(zapcore.Entry{Level: level, Time: wr.ts.Now(), Message: event}, fs)
	if err != nil {
		return
	}
	wr.put(bu.Bytes())
	bu.Free()
}

// append queues a line, or counts it as dropped if there is no room. If the line
// is to be written at once, that is begun, and the channel is closed when it is
// done; it is nil if there is nothing to wait for.
func (wr *Writer) append(line []byte, atOnce bool) (written <-chan struct{}) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.closed {
		return nil
	}
	if wr.full(len(line)) {
		wr.dropped.lines++
		wr.dropped.bytes += uint64(len(line))
		wr.st.Dropped++
		return nil
	}
	wr.noteDropped()
	wr.put(line)
	if !atOnce {
		return nil
	}
	wr.start()
	if wr.stalled {
		return nil
	}
	if wr.taken == nil {
		wr.taken = make(chan struct{})
	}
	return wr.taken
}

// await waits until a line is written, for Config.AtOnceWithin at most.
//
// Without it, a process that is killed loses the lines of its last moments, and
// with them what it told an operator: the change is in force after the next start,
// and no log says who asked for it. A write to a pipe or file that has returned
// outlives the process. A reader that stalls must not hold up the answers of the
// process, so the wait is bounded, and as long as the batch for which it was given
// up is being written nobody waits again.
func (wr *Writer) await(written <-chan struct{}) {
	late := make(chan struct{})
	defer wr.ts.Timeout(wr.cf.SyncTimeout, func() { close(late) }).Stop()
	select {
	case <-written:
	case <-late:
		wr.giveUp(written)
	}
}

// giveUp notes that a wait was in vain, unless it has just ended.
func (wr *Writer) giveUp(written <-chan struct{}) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	select {
	case <-written:
	default:
		wr.stalled = true
	}
}

// put adds a line to the queue and makes sure that it is written soon.
func (wr *Writer) put(line []byte) {
	wr.queue = append(wr.queue, line...)
	wr.st.Written++
	switch {
	case wr.busy: // Whoever writes goes on with this.
	case len(wr.queue) >= wr.cf.BatchBytes:
		wr.start()
	case !wr.armed:
		wr.armed = true
		if wr.due == nil {
			wr.due = wr.ts.Timeout(wr.cf.BatchDelay, wr.run)
		} else {
			wr.due.Reset(wr.cf.BatchDelay)
		}
	}
}

// start makes the queue be written now, unless someone writes already.
func (wr *Writer) start() {
	if wr.busy {
		return
	}
	wr.busy = true
	go wr.write()
}

// run writes the queue when its delay is over.
func (wr *Writer) run() {
	wr.mu.Lock()
	wr.armed = false
	if wr.busy || len(wr.queue) == 0 {
		wr.mu.Unlock()
		return
	}
	wr.busy = true
	wr.mu.Unlock()
	wr.write()
}

// write writes batches until the queue is empty. The caller has set busy.
func (wr *Writer) write() {
	for {
		wr.mu.Lock()
		wr.noteDropped()
		if len(wr.queue) == 0 {
			wr.rest()
			wr.mu.Unlock()
			return
		}
		batch := wr.queue
		wr.queue, wr.spare = wr.spare, nil
		wr.writing = len(batch)
		taken := wr.taken
		wr.taken = nil
		wr.mu.Unlock()
		failed := wr.writeLines(batch)
		wr.mu.Lock()
		wr.st.Failed += failed
		wr.writing, wr.spare = 0, reusable(batch)
		wr.stalled = false
		if taken != nil {
			close(taken)
		}
		wr.mu.Unlock()
	}
}

// writeLines writes a batch in pieces of whole lines and returns how many
// failed. A pipe takes up to wholeBytes in one piece: more may be cut in the
// middle of a line by what another process writes to it, or by how its reader
// reads, and both halves of the line are lost to whoever looks for it.
func (wr *Writer) writeLines(batch []byte) (failed uint64) {
	for len(batch) > 0 {
		size := len(batch)
		if size > wholeBytes {
			size = bytes.LastIndexByte(batch[:wholeBytes], '\n') + 1
			if size == 0 {
				size = bytes.IndexByte(batch, '\n') + 1 // One line that is longer.
			}
		}
		if _, err := wr.out.Write(batch[:size]); err != nil {
			failed++
		}
		batch = batch[size:]
	}
	return failed
}

// rest ends a goroutine that writes.
func (wr *Writer) rest() {
	wr.busy = false
	if wr.idle != nil {
		close(wr.idle)
		wr.idle = nil
	}
}

// reusable returns a buffer to fill again, but not one that a burst has made
// large: it would stay for good.
func reusable(bu []byte) []byte {
	const most = 256 << 10
	if cap(bu) > most {
		return nil
	}
	return bu[:0]
}
