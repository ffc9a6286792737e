package overload

import (
	"sync"
	"time"
)

// Client is what an entry instance uses of the package. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	me *Meter
	ga *Gate
	rt *Returns
}

// Decision says whether a request is admitted, and why.
type Decision struct {
	Admitted bool
	Returned bool          // Returned is set if it was admitted because its caller came back as told.
	Fraction float64       // Fraction is the admitted fraction of the requests like it.
	Age      time.Duration // Age is how old the level with the fraction is.
	Wait     time.Duration // Wait is how long the caller should wait, if it is not admitted.
}

// NewClient returns a Client that admits everything. The phase is as in NewGate.
func NewClient(phase float64) *Client {
	return &Client{me: NewMeter(), ga: NewGate(phase), rt: NewReturns(phase)}
}

// Decide decides on a request whose caller waits for the remaining time. The key is called
// only if the group is limited, as a digest of the request takes time.
func (cl *Client) Decide(now time.Time, group string, so Source, key func() Key, remaining time.Duration) Decision {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var de Decision
	if de.Fraction, de.Age = cl.ga.Level(now, group, so); de.Fraction >= 1 {
		de.Admitted = true
		return de
	}
	ke := key()
	de.Returned = cl.rt.Returned(now, ke)
	if de.Admitted = cl.ga.Admit(now, group, so) || de.Returned; !de.Admitted {
		de.Wait = cl.rt.Reject(now, ke, so.Class, de.Fraction, remaining)
	}
	return de
}

// Arrived counts a request and whether it was admitted in the end.
func (cl *Client) Arrived(group string, so Source, admitted bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.me.Arrived(group, so, admitted)
}

// Ended counts an admitted request that has ended, and whether it met overload.
func (cl *Client) Ended(group string, overloaded bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.me.Ended(group, overloaded)
}

// Update records the levels that a control instance sent.
func (cl *Client) Update(now time.Time, control string, lss []Levels) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, ls := range lss {
		cl.ga.Update(now, control, ls)
	}
}

// Lowest returns the lowest admitted fraction of a group; 1 if everything is admitted.
func (cl *Client) Lowest(now time.Time) float64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	lowest := 1.0
	for _, by := range cl.ga.levels {
		for _, he := range by {
			if now.Sub(he.at) < LevelsTTL {
				lowest = min(lowest, float64(he.ls.Fraction))
			}
		}
	}
	return lowest
}

// Take returns the reports to send now, as Meter.Take. It should be called every
// ReportInterval.
func (cl *Client) Take(now time.Time) []Report {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.me.Take(func(group string) bool { return cl.ga.Watched(now, group) })
}
