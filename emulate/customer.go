package emulate

import (
	"strings"

	"balsamwinch.example/customer"
	"balsamwinch.example/route"
	"balsamwinch.example/settings"
)

// Customer is a customer whose API keys requests carry.
type Customer struct {
	Name        string
	Keys        []string
	Priority    int  // used only if HasPriority is set; 0 is the highest
	HasPriority bool // the priority of the customer takes precedence over that of routes
	Rate        float64
	Burst       float64
}

// encodable returns the customers with lists of keys that are not null, which the parser
// rejects.
func encodable(cus []Customer) []Customer {
	out := make([]Customer, 0, len(cus))
	for _, cu := range cus {
		cu.Keys = append([]string{}, cu.Keys...)
		out = append(out, cu)
	}
	return out
}

// newCustomers returns the index of the customers, or nil if the list is nil. The error is a
// *route.ConfigError.
func newCustomers(cus []Customer) (*customer.Index, error) {
	if cus == nil {
		return nil, nil
	}
	list := make([]customer.Customer, 0, len(cus))
	for _, cu := range cus {
		list = append(list, customer.Customer{
			Name: cu.Name, Keys: cu.Keys, Priority: cu.Priority, HasPriority: cu.HasPriority,
			Quota: customer.Quota{Rate: cu.Rate, Burst: cu.Burst},
		})
	}
	ix, err := customer.New(list)
	return ix, route.AsConfigError(err)
}

// withoutKeys returns the faults without the values found in customers, which may be keys in
// the wrong place.
func withoutKeys(fs settings.Faults) settings.Faults {
	for ix := range fs {
		if strings.HasPrefix(fs[ix].Field, "Customers") {
			fs[ix].Got = "another value"
		}
	}
	return fs
}
