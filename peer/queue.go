package peer

import "context"

// enqueue queues a frame, dropping the oldest ones if the queue exceeds its limits. It returns
// true if no goroutine is sending the queue, so that the caller must start one.
func (lk *link) enqueue(frame []byte) bool {
	lk.mu.Lock()
	lk.queue = append(lk.queue, frame)
	lk.queuedBytes += len(frame)
	for len(lk.queue) > maxQueueMessages || (lk.queuedBytes > maxQueueBytes && len(lk.queue) > 1) {
		lk.queuedBytes -= len(lk.queue[0])
		lk.queue = lk.queue[1:]
		lk.pe.cs.dropped.Add(1)
	}
	idle := !lk.sending
	lk.sending = true
	lk.mu.Unlock()
	if idle && !lk.pe.beginWork() {
		lk.discard()
		return false
	}
	return idle
}

// discard drops the queue of a Peer that is closing.
func (lk *link) discard() {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.pe.cs.dropped.Add(uint64(len(lk.queue)))
	lk.queue, lk.queuedBytes, lk.sending = nil, 0, false
}

// sendQueue sends the queue batch by batch until it is empty. One batch is in flight at a
// time, so messages arrive in order, and if the peer handles them slowly, they queue up here
// and not in the peer's memory.
func (lk *link) sendQueue() {
	defer lk.pe.inFlight.Done()
	defer lk.pe.releaseLink(lk)
	for {
		batch, count := lk.nextBatch()
		if count == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(lk.pe.ctx, batchTimeout)
		_, er := lk.exchange(ctx, batch)
		cancel()
		if er == nil {
			continue
		}
		lk.pe.cs.dropped.Add(uint64(count))
		// The next message tries to reach the peer again, but not so often that the handshakes
		// cost more than the messages.
		_ = lk.pe.ts.Sleep(lk.pe.ctx, redialDelay)
	}
}

// nextBatch removes the oldest messages that fit in one batch. If there are none, it marks the
// sender as finished.
func (lk *link) nextBatch() ([]byte, int) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	var batch []byte
	count := 0
	for _, frame := range lk.queue {
		if count > 0 && len(batch)+len(frame) > maxBatchBytes {
			break
		}
		batch = append(batch, frame...)
		count++
	}
	lk.queue = lk.queue[count:]
	lk.queuedBytes -= len(batch)
	if count == 0 {
		lk.queue, lk.sending = nil, false
	}
	return batch, count
}
