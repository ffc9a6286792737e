package quarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Two requests with different content must never share a key, or callers of one would be
// refused because of the other. Attempts of the same request must have the same key at
// every instance.
func TestKeyDistinguishesContent(t *testing.T) {
	c := qt.New(t)
	base := Content{Method: "GET", Host: "a.example", URI: "/x?q=1", Credentials: "t", Body: []byte("b")}
	c.Assert(base.Key(), qt.Equals, base.Key())
	c.Assert(base.Key().String(), qt.Equals, "e329db10c6ad57b2c7beff3fbe9c023a")
	for name, other := range map[string]Content{
		"method":      {Method: "PUT", Host: "a.example", URI: "/x?q=1", Credentials: "t", Body: []byte("b")},
		"host":        {Method: "GET", Host: "b.example", URI: "/x?q=1", Credentials: "t", Body: []byte("b")},
		"query":       {Method: "GET", Host: "a.example", URI: "/x?q=2", Credentials: "t", Body: []byte("b")},
		"credentials": {Method: "GET", Host: "a.example", URI: "/x?q=1", Credentials: "u", Body: []byte("b")},
		"body":        {Method: "GET", Host: "a.example", URI: "/x?q=1", Credentials: "t", Body: []byte("c")},
		"moved byte":  {Method: "GET", Host: "a.example", URI: "/x?q=1t", Credentials: "", Body: []byte("b")},
		"moved host":  {Method: "GETa", Host: ".example", URI: "/x?q=1", Credentials: "t", Body: []byte("b")},
	} {
		c.Check(other.Key() == base.Key(), qt.IsFalse, qt.Commentf(name))
	}
}
