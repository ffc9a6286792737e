// Package quarantine remembers requests under which backend servers ended, by their
// content, and says which of them may run. A request that ends whoever runs it (a query
// of death) would otherwise take a server of each shard with every attempt: hedges and
// retries pass it on to the next replica, and its caller sends it again to any entry
// instance.
//
// A Book is driven by events with the time in them and touches no clock and no socket.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is long enough that nobody can make a request with another one's key.
const keyBytes = 16

// Key stands for requests with the same content.
type Key [keyBytes]byte

// String returns the key in hexadecimal digits, as logs show it.
func (ke Key) String() string { return hex.EncodeToString(ke[:]) }

// Content is what makes two requests the same. The id and the deadline of an attempt
// are not part of it, since they differ when a caller sends the same request again.
type Content struct {
	Method, Host, URI string
	// Authorization is what the caller proves to be: the same path may mean another
	// thing for somebody else.
	Authorization string
	Body          []byte
}

// Key returns the key of the content.
func (co Content) Key() Key {
	ha := sha256.New()
	var size [8]byte
	add := func(part []byte) {
		// With its length before it, no part can pass for the end of another one.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = ha.Write(size[:])
		_, _ = ha.Write(part)
	}
	for _, part := range [...]string{co.Method, co.Host, co.URI, co.Authorization} {
		add([]byte(part))
	}
	add(co.Body)
	return Key(ha.Sum(nil)[:keyBytes])
}
