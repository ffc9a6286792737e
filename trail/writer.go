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

// reportDelay is how long lines that are left out are counted before they are reported.
const reportDelay = time.Second

// maxAtomicWrite is the number of bytes that a pipe accepts without interleaving other writes
// (PIPE_BUF on Linux).
const maxAtomicWrite = 4096

// ErrStalled means that the reader of the log did not take all of it in time.
var ErrStalled = errors.New("trail: the reader of the log has stalled")

// Stats counts lines since the start.
type Stats struct {
	Written uint64 // lines queued, whether already written or not
	LeftOut uint64 // lines beyond the rate of their event
	Dropped uint64 // lines that found the queue full
	Failed  uint64 // writes that failed; their lines are lost
}

// Writer queues lines and writes them in batches, one batch at a time. The writing goroutine
// exists only while there is something to write, so a process that logs nothing has no timer
// and no goroutine for its log.
type Writer struct {
	out io.Writer
	cf  Config
	ts  *timer.Service
	en  zapcore.Encoder // for the log's own lines

	mu              sync.Mutex
	infoBuckets     buckets
	warnBuckets     buckets
	queue           []byte // complete lines that wait
	spare           []byte // empty buffer of the last batch
	inFlightBytes   int    // size of the batch being written
	writerRunning   bool   // whether a goroutine writes
	batchScheduled  bool   // whether batchTimer runs
	closed          bool
	batchTimer      *timer.Timeout
	reportScheduled bool // whether a report of left-out lines is due
	reportTimer     *timer.Timeout
	drained         chan struct{} // closed once all lines are written; nil if nobody waits
	batchWritten    chan struct{} // closed once the lines now in queue are written; nil if nobody waits
	stalled         bool          // whether a wait for the batch being written has timed out
	dropped         droppedCounts
	st              Stats
}

// droppedCounts counts the lines that were dropped since the last one that was queued.
type droppedCounts struct {
	lines, bytes uint64
}

func newWriter(out io.Writer, cf Config, ts *timer.Service, en zapcore.Encoder) *Writer {
	return &Writer{
		out: out, cf: cf, ts: ts, en: en,
		infoBuckets: newBuckets(cf.Rate), warnBuckets: newBuckets(cf.WarnRate),
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

// Flush writes all queued lines without waiting for more and returns once that is done. It
// returns ErrStalled after Config.CloseTimeout.
func (wr *Writer) Flush() error {
	wr.mu.Lock()
	if len(wr.queue) == 0 && !wr.writerRunning {
		wr.mu.Unlock()
		return nil
	}
	if wr.drained == nil {
		wr.drained = make(chan struct{})
	}
	drained := wr.drained
	wr.startWriting()
	wr.mu.Unlock()
	timedOut := make(chan struct{})
	defer wr.ts.Timeout(wr.cf.CloseTimeout, func() { close(timedOut) }).Stop()
	select {
	case <-drained:
		return nil
	case <-timedOut:
		return ErrStalled
	}
}

// Close reports the lines left out and writes all queued lines. Later lines are lost. The
// error is ErrStalled if the reader did not take everything within Config.CloseTimeout.
func (wr *Writer) Close() error {
	wr.mu.Lock()
	if !wr.closed {
		wr.reportLeftOut()
		wr.closed = true
	}
	if wr.reportTimer != nil {
		wr.reportTimer.Stop()
	}
	wr.mu.Unlock()
	return wr.Flush()
}

// admit reports whether a line is within the rate of its event.
func (wr *Writer) admit(ent zapcore.Entry) bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	bs := &wr.infoBuckets
	if ent.Level >= zapcore.WarnLevel {
		bs = &wr.warnBuckets
	}
	if bs.take(ent) {
		return true
	}
	wr.st.LeftOut++
	wr.scheduleReport()
	return false
}

// scheduleReport reports the lines left out after reportDelay.
func (wr *Writer) scheduleReport() {
	switch {
	case wr.reportScheduled || wr.closed:
		return
	case wr.reportTimer == nil:
		wr.reportTimer = wr.ts.Timeout(reportDelay, wr.report)
	default:
		wr.reportTimer.Reset(reportDelay)
	}
	wr.reportScheduled = true
}

func (wr *Writer) report() {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.reportScheduled = false
	switch {
	case wr.closed:
	case wr.full(0):
		// A reader that has stalled forever does not take reports either, and one report a
		// second would make the queue grow without bound. The counts are kept until there is
		// room.
		wr.scheduleReport()
	default:
		wr.reportLeftOut()
	}
}

// full reports whether the queue has no room for size more bytes.
func (wr *Writer) full(size int) bool {
	return len(wr.queue)+wr.inFlightBytes+size > wr.cf.QueueBytes
}

// reportLeftOut queues a line for each event of which lines were left out.
func (wr *Writer) reportLeftOut() {
	for _, bs := range []*buckets{&wr.infoBuckets, &wr.warnBuckets} {
		var names []string
		for name, bu := range bs.byEvent {
			if bu.leftOut > 0 {
				names = append(names, name)
			}
		}
		slices.SortFunc(names, strings.Compare)
		for _, name := range names {
			bu := bs.byEvent[name]
			wr.enqueueOwnLine(zapcore.InfoLevel, eventLeftOut, zap.String("Of", name), zap.Uint64("Count", bu.leftOut))
			bu.leftOut = 0
		}
	}
}

// reportDropped queues a line about the dropped lines, in their place.
func (wr *Writer) reportDropped() {
	if wr.dropped.lines == 0 {
		return
	}
	dr := wr.dropped
	wr.dropped = droppedCounts{}
	wr.enqueueOwnLine(zapcore.WarnLevel, eventDropped, zap.Uint64("Count", dr.lines), zap.Uint64("Bytes", dr.bytes))
}

// enqueueOwnLine queues a line about the log itself. It may exceed the bound of the queue:
// there is at most one such line for each event, and no further one until the queue has room
// again.
func (wr *Writer) enqueueOwnLine(level zapcore.Level, event string, fs ...zapcore.Field) {
	bu, err := wr.en.EncodeEntry(zapcore.Entry{Level: level, Time: wr.ts.Now(), Message: event}, fs)
	if err != nil {
		return
	}
	wr.enqueue(bu.Bytes())
	bu.Free()
}

// append queues a line, or counts it as dropped if there is no room. If wait is set, it starts
// writing at once and returns a channel that is closed once the line is written, or nil if
// there is nothing to wait for.
func (wr *Writer) append(line []byte, wait bool) (written <-chan struct{}) {
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
	wr.reportDropped()
	wr.enqueue(line)
	if !wait {
		return nil
	}
	wr.startWriting()
	if wr.stalled {
		return nil
	}
	if wr.batchWritten == nil {
		wr.batchWritten = make(chan struct{})
	}
	return wr.batchWritten
}

// awaitWrite waits until a line is written, for at most Config.SyncTimeout.
//
// Without it, a process that is killed loses its last lines, and with them what it
// acknowledged to an operator: the change is in force after the next start, and no log says
// who requested it. Data written to a pipe or file outlives the process once the write has
// returned. A stalled reader must not delay the responses of the process. So the wait is
// bounded, and after a timeout nobody waits again until the batch being written is done.
func (wr *Writer) awaitWrite(written <-chan struct{}) {
	timedOut := make(chan struct{})
	defer wr.ts.Timeout(wr.cf.SyncTimeout, func() { close(timedOut) }).Stop()
	select {
	case <-written:
	case <-timedOut:
		wr.markStalled(written)
	}
}

// markStalled records that a wait has timed out, unless the line was written in the meantime.
func (wr *Writer) markStalled(written <-chan struct{}) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	select {
	case <-written:
	default:
		wr.stalled = true
	}
}

// enqueue adds a line to the queue and makes sure that it is written soon.
func (wr *Writer) enqueue(line []byte) {
	wr.queue = append(wr.queue, line...)
	wr.st.Written++
	switch {
	case wr.writerRunning: // The running goroutine writes this line too.
	case len(wr.queue) >= wr.cf.BatchBytes:
		wr.startWriting()
	case !wr.batchScheduled:
		wr.batchScheduled = true
		if wr.batchTimer == nil {
			wr.batchTimer = wr.ts.Timeout(wr.cf.BatchDelay, wr.onBatchDelay)
		} else {
			wr.batchTimer.Reset(wr.cf.BatchDelay)
		}
	}
}

// startWriting starts writing the queue, unless a goroutine already writes.
func (wr *Writer) startWriting() {
	if wr.writerRunning {
		return
	}
	wr.writerRunning = true
	go wr.writeBatches()
}

// onBatchDelay writes the queue when the batch delay has passed.
func (wr *Writer) onBatchDelay() {
	wr.mu.Lock()
	wr.batchScheduled = false
	if wr.writerRunning || len(wr.queue) == 0 {
		wr.mu.Unlock()
		return
	}
	wr.writerRunning = true
	wr.mu.Unlock()
	wr.writeBatches()
}

// writeBatches writes batches until the queue is empty. The caller has set writerRunning.
func (wr *Writer) writeBatches() {
	for {
		wr.mu.Lock()
		wr.reportDropped()
		if len(wr.queue) == 0 {
			wr.finishWriting()
			wr.mu.Unlock()
			return
		}
		batch := wr.queue
		wr.queue, wr.spare = wr.spare, nil
		wr.inFlightBytes = len(batch)
		batchWritten := wr.batchWritten
		wr.batchWritten = nil
		wr.mu.Unlock()
		failed := wr.writeLines(batch)
		wr.mu.Lock()
		wr.st.Failed += failed
		wr.inFlightBytes, wr.spare = 0, reusable(batch)
		wr.stalled = false
		if batchWritten != nil {
			close(batchWritten)
		}
		wr.mu.Unlock()
	}
}

// writeLines writes a batch in pieces of complete lines and returns the number of failed
// writes. A pipe accepts up to maxAtomicWrite bytes in one piece. A longer piece may be
// interrupted in the middle of a line by another process's write, or split by the way its
// reader reads, and both halves of the line would be unreadable.
func (wr *Writer) writeLines(batch []byte) (failed uint64) {
	for len(batch) > 0 {
		size := len(batch)
		if size > maxAtomicWrite {
			size = bytes.LastIndexByte(batch[:maxAtomicWrite], '\n') + 1
			if size == 0 {
				size = bytes.IndexByte(batch, '\n') + 1 // a single line that is longer
			}
		}
		if _, err := wr.out.Write(batch[:size]); err != nil {
			failed++
		}
		batch = batch[size:]
	}
	return failed
}

// finishWriting ends the writing goroutine's work and wakes those waiting for an empty queue.
func (wr *Writer) finishWriting() {
	wr.writerRunning = false
	if wr.drained != nil {
		close(wr.drained)
		wr.drained = nil
	}
}

// reusable returns a buffer for reuse, or nil if a burst has made it large, because it would
// then occupy that memory forever.
func reusable(bu []byte) []byte {
	const maxBytes = 256 << 10
	if cap(bu) > maxBytes {
		return nil
	}
	return bu[:0]
}
