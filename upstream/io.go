package upstream

import (
	"io"
	"syscall"
)

// Read reads from the connection. The first call also sends the request, so that the
// check for a clean connection, the write and the wait for the reply take a single wait
// on the descriptor, and no read is tried before bytes have arrived.
func (ex *exchange) Read(bs []byte) (int, error) {
	if ex.readBudget <= 0 {
		return 0, errHeadTooLong
	}
	nu, err := ex.readConn(bs)
	if nu > 0 {
		ex.received = true
		ex.readBudget -= nu
	}
	if err != nil {
		ex.ioErr = err
	}
	return nu, err
}

func (ex *exchange) readConn(bs []byte) (int, error) {
	if ex.cn.raw == nil && !ex.started {
		ex.started = true
		if err := ex.writeWithoutDescriptor(); err != nil {
			return 0, err
		}
	}
	if ex.cn.raw == nil || ex.received {
		return ex.cn.nc.Read(bs)
	}
	ex.readBuf, ex.numRead, ex.readErr = bs, 0, nil
	if err := ex.cn.raw.Read(ex.readFunc); err != nil {
		return 0, err
	}
	return ex.numRead, ex.readErr
}

// onReady is called with the descriptor, and again whenever bytes may have arrived, until
// it returns true.
//
// Bytes that arrived before the runtime waited for the descriptor wouldn't end that wait.
// The check before the write detects these, so none is missed.
func (ex *exchange) onReady(fd uintptr) bool {
	if !ex.started {
		ex.started = true
		ex.readErr = ex.sendRequest(int(fd))
		return ex.readErr != nil
	}
	nu, err := read(int(fd), ex.readBuf)
	if err == syscall.EAGAIN {
		return false
	}
	ex.numRead, ex.readErr = nu, err
	return true
}

// sendRequest writes the request if the connection is clean. It returns nil once any byte
// was sent: even if the server then closed the connection, it may have replied before.
func (ex *exchange) sendRequest(fd int) error {
	if err := checkIdle(fd); err != nil {
		return err
	}
	if err := ex.write(fd); err != nil && !ex.anySent {
		return err
	}
	return nil
}

// checkIdle returns nil if the connection is open and nothing has arrived on it. The
// server may have closed it while it was idle, and a late or duplicate reply must not be
// taken for the reply to the next request.
func checkIdle(fd int) error {
	var one [1]byte
	for {
		nu, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return nil
		case err != nil:
			return err
		case nu == 0:
			return errClosedWhileIdle
		default:
			return errBytesBeforeRequest
		}
	}
}

func read(fd int, bs []byte) (int, error) {
	for {
		nu, err := syscall.Read(fd, bs)
		switch {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case nu == 0:
			return 0, io.EOF
		default:
			return nu, nil
		}
	}
}

// write writes as much of the request as the kernel accepts without blocking, up to a
// bound, and starts a goroutine for the rest. Without the bound, a server that reads as
// fast as this writes would delay the reaction to the end of the context.
func (ex *exchange) write(fd int) error {
	head, err := ex.writeNonblocking(fd, ex.out)
	if err != nil {
		return err
	}
	rest := ex.bodyRest
	if len(head) == 0 {
		now := min(len(rest), maxBodyBeforeRead)
		left, err := ex.writeNonblocking(fd, rest[:now])
		if err != nil {
			return err
		}
		rest = rest[now-len(left):]
	}
	if len(head)+len(rest) > 0 {
		ex.startWriter(head, rest)
		return nil
	}
	ex.allSent = true
	return nil
}

// writeNonblocking returns the bytes that the kernel didn't accept.
func (ex *exchange) writeNonblocking(fd int, bs []byte) ([]byte, error) {
	for len(bs) > 0 {
		nu, err := syscall.Write(fd, bs)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return bs, nil
		case err != nil:
			return bs, err
		default:
			ex.anySent = ex.anySent || nu > 0
			bs = bs[nu:]
		}
	}
	return bs, nil
}

// writeWithoutDescriptor writes the request on a connection that has no descriptor.
func (ex *exchange) writeWithoutDescriptor() error {
	nu, err := ex.cn.nc.Write(ex.out)
	ex.anySent = nu > 0
	if err != nil {
		return err
	}
	if len(ex.bodyRest) > 0 {
		ex.startWriter(nil, ex.bodyRest)
		return nil
	}
	ex.allSent = true
	return nil
}

// startWriter writes the rest of a long request while the reply is already being read.
func (ex *exchange) startWriter(head, rest []byte) {
	ex.anySent, ex.writing = true, true
	nc, written := ex.cn.nc, ex.writeDone
	go func() {
		var err error
		for _, bs := range [...][]byte{head, rest} {
			if len(bs) > 0 && err == nil {
				_, err = nc.Write(bs)
			}
		}
		written <- err
	}()
}
