package upstream

import (
	"io"
	"syscall"
)

// Read reads from the connection. The first call sends the request before: the
// check that the connection is clean, the write and the wait for the reply are
// then one turn at the descriptor, and no read is tried before bytes are there.
func (ex *exchange) Read(bs []byte) (int, error) {
	if ex.budget <= 0 {
		return 0, errLongHead
	}
	nu, err := ex.readConn(bs)
	if nu > 0 {
		ex.heard = true
		ex.budget -= nu
	}
	if err != nil {
		ex.ioErr = err
	}
	return nu, err
}

func (ex *exchange) readConn(bs []byte) (int, error) {
	if ex.cn.raw == nil && !ex.begun {
		ex.begun = true
		if err := ex.writePlain(); err != nil {
			return 0, err
		}
	}
	if ex.cn.raw == nil || ex.heard {
		return ex.cn.nc.Read(bs)
	}
	ex.dest, ex.read, ex.stepErr = bs, 0, nil
	if err := ex.cn.raw.Read(ex.step); err != nil {
		return 0, err
	}
	return ex.read, ex.stepErr
}

// onTurn is called with the descriptor, and again whenever bytes may have come,
// until it returns true.
//
// Bytes that came before the wait was armed wouldn't end it. The check before
// the write finds those, so none is missed.
func (ex *exchange) onTurn(fd uintptr) bool {
	if !ex.begun {
		ex.begun = true
		ex.stepErr = ex.begin(int(fd))
		return ex.stepErr != nil
	}
	nu, err := read(int(fd), ex.dest)
	if err == syscall.EAGAIN {
		return false
	}
	ex.read, ex.stepErr = nu, err
	return true
}

// begin writes the request if the connection is clean. It returns nil once bytes
// left: a server that closed the connection then may have answered before.
func (ex *exchange) begin(fd int) error {
	if err := checkQuiet(fd); err != nil {
		return err
	}
	if err := ex.write(fd); err != nil && !ex.left {
		return err
	}
	return nil
}

// checkQuiet returns nil if a connection is open and nothing has come in on it.
// The server may have closed it while it was idle, and a late or doubled reply
// must not meet the next request.
func checkQuiet(fd int) error {
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
			return errEnded
		default:
			return errEarly
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

// write writes as much of the request as the system takes without a wait, within
// a bound, and starts a goroutine for the rest. Without the bound, a server that
// reads as fast as this writes would keep the end of the context from being seen.
func (ex *exchange) write(fd int) error {
	head, err := ex.writeSome(fd, ex.out)
	if err != nil {
		return err
	}
	rest := ex.rest
	if len(head) == 0 {
		now := min(len(rest), nowBytes)
		left, err := ex.writeSome(fd, rest[:now])
		if err != nil {
			return err
		}
		rest = rest[now-len(left):]
	}
	if len(head)+len(rest) > 0 {
		ex.startWriter(head, rest)
		return nil
	}
	ex.sent = true
	return nil
}

// writeSome returns what the system didn't take.
func (ex *exchange) writeSome(fd int, bs []byte) ([]byte, error) {
	for len(bs) > 0 {
		nu, err := syscall.Write(fd, bs)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return bs, nil
		case err != nil:
			return bs, err
		default:
			ex.left = ex.left || nu > 0
			bs = bs[nu:]
		}
	}
	return bs, nil
}

// writePlain writes the request on a connection without a descriptor.
func (ex *exchange) writePlain() error {
	nu, err := ex.cn.nc.Write(ex.out)
	ex.left = nu > 0
	if err != nil {
		return err
	}
	if len(ex.rest) > 0 {
		ex.startWriter(nil, ex.rest)
		return nil
	}
	ex.sent = true
	return nil
}

// startWriter writes the end of a long request while the reply is awaited already.
func (ex *exchange) startWriter(head, rest []byte) {
	ex.left, ex.writing = true, true
	nc, written := ex.cn.nc, ex.written
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
