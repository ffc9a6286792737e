package emulate

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

// Records returns the records, in no order, with which any server of a service responds
// to a path. Equal arguments give equal records.
func Records(service, path string, count int) []byte {
	rd := rand.New(rand.NewPCG(hash64(service), hash64(path)))
	out := make([]byte, 0, count*RecordBytes)
	for range count {
		out = binary.BigEndian.AppendUint64(out, rd.Uint64())
		out = binary.BigEndian.AppendUint64(out, hash64(service))
	}
	return out
}

// Stamp returns a server's proof that it ran a request: the server's ID and a checksum of
// both IDs. It detects mistakes, not forgery.
func Stamp(server, request string) string {
	return fmt.Sprintf("%s/%016x", server, hash64(server+" "+request))
}

// VerifyStamp returns the ID of the server that gave a stamp for a request; false if the
// stamp is not valid for the request.
func VerifyStamp(stamp, request string) (server string, ok bool) {
	server, _, _ = strings.Cut(stamp, "/")
	return server, server != "" && stamp == Stamp(server, request)
}

func hash64(text string) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(text))
	return ha.Sum64()
}
