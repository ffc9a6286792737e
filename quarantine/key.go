// Package quarantine tracks requests under which backend servers failed, identified by
// their content, and decides which of them may run. A query of death, which crashes every
// server that runs it, would otherwise take down a server of each shard with every attempt:
// hedges and retries pass it on to the next replica, and its caller sends it again to any
// entry instance.
//
// A Tracker is driven by events that carry the time. It uses no clock and no socket.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is long enough that nobody can construct a request with the key of another.
const keyBytes = 16

// Key identifies requests with the same content.
type Key [keyBytes]byte

// String returns the key in hexadecimal digits, as it appears in logs.
func (ke Key) String() string { return hex.EncodeToString(ke[:]) }

// Content holds what makes two requests the same. The id and the deadline of an attempt are
// not part of it, since they differ when a caller sends the same request again.
type Content struct {
	Method, Host, URI string
	// Credentials tell whom the request is for, by a customer's name or the caller's
	// Authorization: the same path may mean something else for another caller.
	Credentials string
	Body        []byte
}

// Key returns the key of the content.
func (co Content) Key() Key {
	ha := sha256.New()
	var size [8]byte
	add := func(part []byte) {
		// The length prefix keeps one part from being taken for the end of another.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = ha.Write(size[:])
		_, _ = ha.Write(part)
	}
	for _, part := range [...]string{co.Method, co.Host, co.URI, co.Credentials} {
		add([]byte(part))
	}
	add(co.Body)
	return Key(ha.Sum(nil)[:keyBytes])
}
