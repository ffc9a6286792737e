package route

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
)

// Guards against texts of a configuration that end a line or are of any length.
func TestCheckTexts(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for _, tc := range []struct {
		name   string
		change func(ro *Route, se *Service, cu *customer.Customer)
		want   string
	}{
		{"good", func(*Route, *Service, *customer.Customer) {}, ""},
		{"no health path", func(_ *Route, se *Service, _ *customer.Customer) { se.HealthPath = "" }, ""},
		{"line break in a health path", func(_ *Route, se *Service, _ *customer.Customer) { se.HealthPath = "/h HTTP/1.1\r\nA: b" }, "service: HealthPath: want no control characters"},
		{"line break in a host", func(ro *Route, _ *Service, _ *customer.Customer) { ro.Host = "a\nb" }, `route "r": Host: want no control characters`},
		{"line break in a prefix", func(ro *Route, _ *Service, _ *customer.Customer) { ro.Prefix = "/a\r/" }, `route "r": Prefix: want no control characters`},
		{"long prefix", func(ro *Route, _ *Service, _ *customer.Customer) { ro.Prefix = "/" + long + "/" }, `route "r": Prefix: want at most 4096 bytes, got 5002`},
		{"long route name", func(ro *Route, _ *Service, _ *customer.Customer) { ro.Name = long }, `route "x{256}": Name: want at most 256 bytes, got 5000`},
		{"long customer name", func(_ *Route, _ *Service, cu *customer.Customer) { cu.Name = long }, `customer "x{256}": Name: want at most 256 bytes, got 5000`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro := Route{Name: "r", Host: "a.example", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{Service: "s", Weight: 1}}}
			se, cu := Service{Name: "s", HealthPath: "/health"}, customer.Customer{Name: "c"}
			tc.change(&ro, &se, &cu)
			tb, err := New(1, []Route{ro}, []Service{se}, Limits{})
			qt.Assert(t, err, qt.IsNil)
			ix, err := customer.New([]customer.Customer{cu})
			qt.Assert(t, err, qt.IsNil)
			err = tb.WithCustomers(ix).CheckTexts()
			if tc.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
		})
	}
}
