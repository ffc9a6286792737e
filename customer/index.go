package customer

// Index finds customers by API key and by name. It is immutable and safe for concurrent use.
type Index struct {
	byKey  map[string]*Customer
	byName map[string]*Customer
}

// New returns the index of the given customers.
func New(cus []Customer) (*Index, error) {
	ix := &Index{byKey: make(map[string]*Customer), byName: make(map[string]*Customer, len(cus))}
	for _, cu := range cus {
		ix.byName[cu.Name] = &cu
		for _, key := range cu.Keys {
			ix.byKey[key] = &cu
		}
	}
	return ix, nil
}

// ByKey returns the customer that holds an API key, and whether there is one. The customer
// must not be modified.
func (ix *Index) ByKey(key string) (*Customer, bool) {
	cu, ok := ix.byKey[key]
	return cu, ok
}

// ByName returns the customer with the given name, and whether there is one. The customer
// must not be modified.
func (ix *Index) ByName(name string) (*Customer, bool) {
	cu, ok := ix.byName[name]
	return cu, ok
}
