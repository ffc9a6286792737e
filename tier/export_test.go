package tier

import "net"

// SetListen makes instances open their listeners with the given function, until
// the returned one is called.
func SetListen(open func(network, address string) (net.Listener, error)) (restore func()) {
	was := openListener
	openListener = open
	return func() { openListener = was }
}
