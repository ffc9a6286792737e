package peer

import "context"

// push queues a frame and drops the oldest if too much waits. It returns true if
// nobody sends the queue yet, so that the caller must start to.
func (lk *link) push(frame []byte) bool {
	lk.mu.Lock()
	lk.queue = append(lk.queue, frame)
	lk.queued += len(frame)
	for len(lk.queue) > queueMessages || (lk.queued > queueBytes && len(lk.queue) > 1) {
		lk.queued -= len(lk.queue[0])
		lk.queue = lk.queue[1:]
		lk.pe.cs.dropped.Add(1)
	}
	idle := !lk.sending
	lk.sending = true
	lk.mu.Unlock()
	if idle && !lk.pe.begin() {
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
	lk.queue, lk.queued, lk.sending = nil, 0, false
}

// drain sends the queue batch by batch until it is empty. One batch is under
// way at a time, so messages arrive in their order and a peer that handles them
// slowly fills the queue here and not its own memory.
func (lk *link) drain() {
	defer lk.pe.busy.Done()
	defer lk.pe.drop(lk)
	for {
		batch, count := lk.take()
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
		// A peer that cannot be reached is tried again by the next message, but
		// not so often that the handshakes cost more than the messages.
		_ = lk.pe.ts.Sleep(lk.pe.ctx, redialPause)
	}
}

// take removes the oldest messages that fit in one batch. When there are none,
// the sender is done.
func (lk *link) take() ([]byte, int) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	var batch []byte
	count := 0
	for _, frame := range lk.queue {
		if count > 0 && len(batch)+len(frame) > batchBytes {
			break
		}
		batch = append(batch, frame...)
		count++
	}
	lk.queue = lk.queue[count:]
	lk.queued -= len(batch)
	if count == 0 {
		lk.queue, lk.sending = nil, false
	}
	return batch, count
}
