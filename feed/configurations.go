package feed

import (
	"sync"

	"balsamwinch.example/delta"
	"balsamwinch.example/link"
)

// Limits for the earlier configurations that a control instance keeps. An instance that
// holds an older one is sent the full configuration.
const (
	maxKeptVersions = 16
	maxKeptBytes    = 8 << 20
)

// configurationStore holds the latest configurations, and the encoded messages that bring
// others to the newest one. It has its own lock, so that compression doesn't delay
// announcements.
//
// Many entry instances hold the same version, so each message is encoded once for all of
// them. A subscriber that missed several versions gets a single delta from the version it
// holds to the newest one.
type configurationStore struct {
	mu     sync.Mutex
	stored []storedConfiguration // in the order of versions, the newest last
	packed map[packedKey]link.PreparedMessage
}

type storedConfiguration struct {
	version uint64
	data    []byte
}

// packedKey identifies an encoding of the newest configuration.
type packedKey struct {
	base  uint64
	delta bool
}

// add appends a version, which must be higher than all before.
func (cs *configurationStore) add(version uint64, data []byte) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.stored = append(cs.stored, storedConfiguration{version, data})
	bytes := 0
	for ix := len(cs.stored) - 1; ix >= 0; ix-- {
		bytes += len(cs.stored[ix].data)
		if older := len(cs.stored) - 1 - ix; older > 0 && (older >= maxKeptVersions || bytes > maxKeptBytes) {
			cs.stored = append([]storedConfiguration(nil), cs.stored[ix+1:]...)
			break
		}
	}
	cs.packed = make(map[packedKey]link.PreparedMessage)
}

// pack returns the encoded answer to a Fetch and the version it contains; 0 if there is
// none. All connections have the same codec.
func (cs *configurationStore) pack(co *link.Conn, fe Fetch) (link.PreparedMessage, uint64, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.stored) == 0 {
		return link.PreparedMessage{}, 0, nil
	}
	newest := cs.stored[len(cs.stored)-1]
	base := cs.find(fe.Base)
	key := packedKey{base: base.version, delta: fe.AcceptDelta}
	if pa, ok := cs.packed[key]; ok {
		return pa, newest.version, nil
	}
	cfg := Configuration{Version: newest.version, Data: newest.data}
	if fe.AcceptDelta {
		fr, err := delta.Encode(base.data, newest.data)
		if err != nil {
			return link.PreparedMessage{}, 0, err
		}
		cfg.Data, cfg.Digest, cfg.Base = fr.Data, fr.Digest, base.version
	}
	pa, err := co.Prepare(cfg)
	if err == nil {
		cs.packed[key] = pa
	}
	return pa, newest.version, err
}

// find returns the stored configuration of a version, or a zero value.
func (cs *configurationStore) find(version uint64) storedConfiguration {
	for _, sc := range cs.stored {
		if sc.version == version {
			return sc
		}
	}
	return storedConfiguration{}
}
