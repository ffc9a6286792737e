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

// Records returns the records that any server of a service answers with to a
// path, in no order. Equal arguments give equal records.
func Records(service, path string, count int) []byte {
	rd := rand.New(rand.NewPCG(sum(service), sum(path)))
	out := make([]byte, 0, count*RecordBytes)
	for range count {
		out = binary.BigEndian.AppendUint64(out, rd.Uint64())
		out = binary.BigEndian.AppendUint64(out, sum(service))
	}
	return out
}

// Stamp returns a server's word that it ran a request: its id, and a check of
// both ids. It keeps out mistakes, not forgers.
func Stamp(server, request string) string {
	return fmt.Sprintf("%s/%016x", server, sum(server+" "+request))
}

// Stamped returns the server that gave a stamp for a request; false if it is no
// stamp for that request.
func VerifyStamp(stamp, request string) (server string, ok bool) {
	server, _, _ = strings.Cut(stamp, "/")
	return server, server != "" && stamp == Stamp(server, request)
}

func sum(text string) uint64 {
	ha := fnv.New64a()
	_, _ = ha.Write([]byte(text))
	return ha.Sum64()
}
