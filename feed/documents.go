package feed

import (
	"sync"

	"balsamwinch.example/delta"
	"balsamwinch.example/link"
)

// Bounds of the earlier configurations that a control instance keeps. Who holds an older
// one than these is sent the whole.
const (
	keptVersions = 16
	keptBytes    = 8 << 20
)

// documents holds the newest configurations, and the newest as it travels to those who
// hold another. With a lock of its own, it holds up no announcement while it compresses.
//
// Many entry instances hold the same version, so that what is sent is made once for all
// of them. A chain of versions that was missed is one difference: that of its ends.
type documents struct {
	mu     sync.Mutex
	kept   []kept // kept is in the order of versions, the newest last.
	packed map[packedKey]link.Packed
}

type kept struct {
	version uint64
	data    []byte
}

// packedKey names a form in which the newest configuration travels.
type packedKey struct {
	base   uint64
	framed bool
}

// add takes in a version that is higher than all before.
func (ds *documents) add(version uint64, data []byte) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.kept = append(ds.kept, kept{version, data})
	bytes := 0
	for ix := len(ds.kept) - 1; ix >= 0; ix-- {
		bytes += len(ds.kept[ix].data)
		if older := len(ds.kept) - 1 - ix; older > 0 && (older >= keptVersions || bytes > keptBytes) {
			ds.kept = append([]kept(nil), ds.kept[ix+1:]...)
			break
		}
	}
	ds.packed = make(map[packedKey]link.Packed)
}

// pack returns the newest configuration as it travels to who sent a Fetch, and its
// version; 0 if there is none. The connection's codec is that of all.
func (ds *documents) pack(co *link.Conn, fe Fetch) (link.Packed, uint64, error) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if len(ds.kept) == 0 {
		return link.Packed{}, 0, nil
	}
	newest := ds.kept[len(ds.kept)-1]
	base := ds.find(fe.Base)
	key := packedKey{base: base.version, framed: fe.AcceptDelta}
	if pa, ok := ds.packed[key]; ok {
		return pa, newest.version, nil
	}
	do := Configuration{Version: newest.version, Data: newest.data}
	if fe.AcceptDelta {
		fr, err := delta.Encode(base.data, newest.data)
		if err != nil {
			return link.Packed{}, 0, err
		}
		do.Data, do.Digest, do.Base = fr.Data, fr.Digest, base.version
	}
	pa, err := co.Pack(do)
	if err == nil {
		ds.packed[key] = pa
	}
	return pa, newest.version, err
}

// find returns the kept configuration of a version, or none.
func (ds *documents) find(version uint64) kept {
	for _, ke := range ds.kept {
		if ke.version == version {
			return ke
		}
	}
	return kept{}
}
