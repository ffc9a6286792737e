// Package overload decides which requests are admitted at all entry instances together
// while the backend servers of a group of services lack capacity. Entry instances count
// requests by class and customer (Meter); a control instance sums the counts of all of them
// and derives the fractions that are admitted (Controller); entry instances admit by these
// (Gate). One entry instance alone has too few requests to see an overload: with 83 of them
// each has at most one query in flight.
//
// The package is pure: time is passed in, and it does no I/O. None of its types is safe for
// concurrent use.
package overload

import "time"

const (
	// NumClasses is the number of classes.
	NumClasses = numRanks * numRanks
	// ReportInterval is how often an entry instance reports while it has anything to report,
	// and how often a control instance evaluates the reports.
	ReportInterval = 100 * time.Millisecond
	// LevelsTTL is how long levels hold after their last update.
	LevelsTTL = 500 * time.Millisecond
	// minShare is the part of the overall fraction that each class and customer is admitted
	// at least. A quarter is required; the rest is margin for the error of measurements.
	minShare = 1.0 / 3
	// maxGroups bounds the groups of services, and maxCustomers the customers that are
	// counted separately in a group. Others share one count.
	maxGroups    = 256
	maxCustomers = 256
)

// Class ranks requests; 0 is the most urgent.
type Class uint8

// numRanks is the number of priorities that are told apart of a customer, and of a route.
const numRanks = 4

// ClassOf returns the class of a request. The priority of its customer goes before that of
// its route, which decides between requests of customers with the same priority. A customer
// without a priority of its own has that of the route.
func ClassOf(customer, route int) Class {
	return Class(numRanks*rankOf(customer) + rankOf(route))
}

func rankOf(priority int) int { return min(max(priority, 0), numRanks-1) }

// Source identifies the requests that are counted together: those of one customer in one
// class. The customer is empty for requests without one.
type Source struct {
	Class    Class  `cbor:"1,keyasint,omitempty"`
	Customer string `cbor:"2,keyasint,omitempty"`
}

// Arrivals are the arrived requests of a source, admitted or not.
type Arrivals struct {
	Source
	Count uint32 `cbor:"3,keyasint,omitempty"`
}

// Report holds what an entry instance counted in a group of services since its last report.
type Report struct {
	Group      string     `cbor:"1,keyasint"`
	Arrived    []Arrivals `cbor:"2,keyasint,omitempty"`
	Admitted   uint32     `cbor:"3,keyasint,omitempty"`
	Ended      uint32     `cbor:"4,keyasint,omitempty"`
	Overloaded uint32     `cbor:"5,keyasint,omitempty"` // Overloaded counts those of Ended that met servers without capacity.
}

// Level is the admitted fraction of the requests of a source.
type Level struct {
	Source
	Fraction float32 `cbor:"3,keyasint,omitempty"`
}

// Levels holds the levels of a group of services. A source without a level has that of its
// class without a customer, and without that it has Fraction.
type Levels struct {
	Group    string  `cbor:"1,keyasint"`
	Watched  bool    `cbor:"2,keyasint,omitempty"` // Watched is set while all entry instances should report the group.
	Limited  bool    `cbor:"5,keyasint,omitempty"` // Limited is set while not everything is admitted.
	Fraction float32 `cbor:"3,keyasint,omitempty"` // Fraction is the overall one.
	Levels   []Level `cbor:"4,keyasint,omitempty"`

	Demand float64 `cbor:"-"` // Demand is the arriving requests per second, for logs.
	Limit  float64 `cbor:"-"` // Limit is the admitted requests per second, for logs; 0 if everything is admitted.
}

// SimilarTo reports whether levels differ little from others of the same group.
func (ls *Levels) SimilarTo(other *Levels) bool { return !ls.differs(other) }

// of returns the admitted fraction of a source.
func (ls *Levels) of(so Source) float64 {
	fraction := ls.Fraction
	for _, le := range ls.Levels {
		switch le.Source {
		case so:
			return float64(le.Fraction)
		case Source{Class: so.Class}:
			fraction = le.Fraction
		}
	}
	return float64(fraction)
}
