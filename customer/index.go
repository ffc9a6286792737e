package customer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"hash"
	"hash/maphash"
	"iter"
	"maps"
	"sync"
)

// numShards is the number of maps among which an index divides its keys, and its names. The
// index of a next version copies only the maps that change: at 100,000 customers a map has
// about 100 entries, and the array of maps takes 8 KB.
const numShards = 1024

// digest identifies an API key. 16 bytes of a keyed hash make a collision of two keys
// impossible in practice, also for a caller that chooses keys.
type digest [16]byte

// Index finds customers by API key and by name. It is immutable and safe for concurrent use.
type Index struct {
	byKey  [numShards]map[digest]*Customer
	byName [numShards]map[string]*Customer
	size   int
}

// New returns the index of the given customers. It returns an *Error for the first invalid
// customer. The keys of the customers must not be modified afterwards.
func New(cus []Customer) (*Index, error) {
	return (&Index{}).Next(nil, cus)
}

// Next returns the index without the customers with the removed names, and with the added
// customers; one that has changed is both removed and added. The maps that hold neither are
// shared with ix. It returns an *Error for the first added customer that is invalid, has the
// name of another, or shares a key with another. A removed name that is unknown is ignored.
func (ix *Index) Next(removed []string, added []Customer) (*Index, error) {
	bu := builder{
		ix:          &Index{byKey: ix.byKey, byName: ix.byName, size: ix.size},
		copiedKeys:  make(map[int]struct{}),
		copiedNames: make(map[int]struct{}),
	}
	for _, name := range removed {
		bu.remove(name)
	}
	for _, cu := range added {
		if err := bu.add(&cu); err != nil {
			return nil, err
		}
	}
	return bu.ix, nil
}

// ByKey returns the customer that holds an API key, and whether there is one. The time that
// it takes depends on the length of the key but not on how much of it is right, since maps
// compare only keyed hashes. The customer must not be modified.
func (ix *Index) ByKey(key string) (*Customer, bool) {
	di := digestOf(key)
	cu, ok := ix.byKey[di.shard()][di]
	return cu, ok
}

// ByName returns the customer with the given name, and whether there is one. The customer
// must not be modified.
func (ix *Index) ByName(name string) (*Customer, bool) {
	cu, ok := ix.byName[nameShard(name)][name]
	return cu, ok
}

// Len returns the number of customers.
func (ix *Index) Len() int { return ix.size }

// All returns the customers in no particular order; none if ix is nil. They must not be
// modified.
func (ix *Index) All() iter.Seq[*Customer] {
	return func(yield func(*Customer) bool) {
		if ix == nil {
			return
		}
		for _, byName := range ix.byName {
			for _, cu := range byName {
				if !yield(cu) {
					return
				}
			}
		}
	}
}

// builder changes a new index and copies each map before its first change.
type builder struct {
	ix                      *Index
	copiedKeys, copiedNames map[int]struct{}
}

func (bu *builder) remove(name string) {
	cu, ok := bu.ix.ByName(name)
	if !ok {
		return
	}
	for _, key := range cu.Keys {
		di := digestOf(key)
		delete(writable(&bu.ix.byKey, bu.copiedKeys, di.shard()), di)
	}
	delete(writable(&bu.ix.byName, bu.copiedNames, nameShard(name)), name)
	bu.ix.size--
}

func (bu *builder) add(cu *Customer) error {
	if err := cu.check(); err != nil {
		return err
	}
	if _, ok := bu.ix.ByName(cu.Name); ok {
		return cu.invalid("Name", "want each customer once, got this name twice")
	}
	for _, key := range cu.Keys {
		di := digestOf(key)
		other, ok := bu.ix.byKey[di.shard()][di]
		if ok && other != cu {
			return cu.invalid("Keys", fmt.Sprintf("want no key of another customer, got one of %q", other.Name))
		}
		writable(&bu.ix.byKey, bu.copiedKeys, di.shard())[di] = cu
	}
	writable(&bu.ix.byName, bu.copiedNames, nameShard(cu.Name))[cu.Name] = cu
	bu.ix.size++
	return nil
}

// writable returns the map of a shard for changes, after copying it if it is still shared
// with the earlier index.
func writable[Key comparable](shards *[numShards]map[Key]*Customer, copied map[int]struct{}, sh int) map[Key]*Customer {
	if _, ok := copied[sh]; !ok {
		copied[sh] = struct{}{}
		if shards[sh] = maps.Clone(shards[sh]); shards[sh] == nil {
			shards[sh] = make(map[Key]*Customer)
		}
	}
	return shards[sh]
}

// hashers holds keyed hashes with the secret of this process. Without the secret, a caller
// cannot find keys with a common beginning of their digests, so the time of a lookup reveals
// nothing about the valid keys.
var hashers = sync.Pool{New: func() any { return hmac.New(sha256.New, secret()) }}

var secret = sync.OnceValue(func() []byte {
	out := make([]byte, sha256.Size)
	_, _ = rand.Read(out) // never fails
	return out
})

func digestOf(key string) digest {
	ha := hashers.Get().(hash.Hash)
	defer hashers.Put(ha)
	ha.Reset()
	_, _ = ha.Write([]byte(key))
	var sum [sha256.Size]byte
	return digest(ha.Sum(sum[:0])[:len(digest{})])
}

func (di digest) shard() int { return (int(di[0])<<8 | int(di[1])) % numShards }

var nameSeed = maphash.MakeSeed()

func nameShard(name string) int { return int(maphash.String(nameSeed, name) % numShards) }
