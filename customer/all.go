package customer

import (
	"iter"
	"maps"
)

// All returns all customers, in no particular order. They must not be modified. A nil Index
// has none.
func (ix *Index) All() iter.Seq[*Customer] {
	if ix == nil {
		return func(func(*Customer) bool) {}
	}
	return maps.Values(ix.byName)
}
