package tier

import "net"

// SetListen replaces the function that opens listeners of instances, until restore is
// called.
func SetListen(open func(network, address string) (net.Listener, error)) (restore func()) {
	was := openListener
	openListener = open
	return func() { openListener = was }
}
