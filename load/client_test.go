package load

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// fakeInstances are fake instances that share an address list.
type fakeInstances struct {
	mu        sync.Mutex
	addresses []string
	ttl       time.Duration
	lists     int // number of address lists returned
	received  []caller.Query
}

// add starts a fake instance that returns the reply, or closes the connection if it is nil.
func (fi *fakeInstances) add(t *testing.T, reply func(qu caller.Query) *fanout.Answer) string {
	sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == caller.AddressesPath {
			fi.mu.Lock()
			defer fi.mu.Unlock()
			fi.lists++
			_ = json.NewEncoder(rw).Encode(caller.Addresses{Addresses: fi.addresses, TTLMillis: fi.ttl.Milliseconds()})
			return
		}
		var qu caller.Query
		_ = json.NewDecoder(rq.Body).Decode(&qu)
		fi.mu.Lock()
		fi.received = append(fi.received, qu)
		fi.mu.Unlock()
		an := reply(qu)
		if an == nil {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(an.Code.Status())
		_ = json.NewEncoder(rw).Encode(an)
	}))
	t.Cleanup(sv.Close)
	address := strings.TrimPrefix(sv.URL, "http://")
	fi.addresses = append(fi.addresses, address)
	return address
}

// queries returns the queries that the fake instances received.
func (fi *fakeInstances) queries() []caller.Query {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return slices.Clone(fi.received)
}

func replyWith(code result.Code) func(caller.Query) *fanout.Answer {
	return func(qu caller.Query) *fanout.Answer { return &fanout.Answer{RequestID: qu.RequestID, Code: code} }
}

func lostAnswer(caller.Query) *fanout.Answer { return nil }

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// A caller with an outdated list reaches instances that have stopped, are draining, or fail
// while they process its query. It must retry only if the query can't run twice.
func TestDoRetriesOnlyIfQueryCannotRunTwice(t *testing.T) {
	closed := closedAddress(t)
	for _, tt := range []struct {
		name     string
		first    func(caller.Query) *fanout.Answer // nil for an instance that has stopped
		key      string
		want     result.Code
		attempts int
		lost     bool
	}{
		{"answer", replyWith(result.Complete), "", result.Complete, 1, false},
		{"refusal", replyWith(result.NotRunOverloaded), "", result.NotRunOverloaded, 1, false},
		{"instance stopped", nil, "", result.Complete, 2, false},
		{"instance stopped, keyed", nil, "k", result.Complete, 2, false},
		{"instance draining", replyWith(result.NotRunDraining), "", result.Complete, 2, false},
		{"instance stale", replyWith(result.NotRunStale), "", result.Complete, 2, false},
		{"answer lost", lostAnswer, "", 0, 1, true},
		{"answer lost, keyed", lostAnswer, "k", result.Complete, 2, false},
		{"outcome unknown", replyWith(result.OutcomeUnknown), "k", result.OutcomeUnknown, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			fi := &fakeInstances{ttl: time.Hour}
			if tt.first != nil {
				fi.add(t, tt.first)
			} else {
				fi.addresses = []string{closed}
			}
			second := fi.add(t, replyWith(result.Complete))
			cl := NewClient(timer.New(), []string{second})
			defer cl.Close()
			oc := cl.Do(t.Context(), Call{Service: "archivo", RequestID: "q", Key: tt.key, Deadline: time.Minute, Query: json.RawMessage(`1`)})
			c.Assert(oc.Attempts, qt.HasLen, tt.attempts)
			c.Assert(oc.Word.Err != nil, qt.Equals, tt.lost, qt.Commentf("%v", oc.Word.Err))
			c.Assert(oc.Word.Answer.Code, qt.Equals, tt.want)
			for _, qu := range fi.queries() {
				c.Assert(qu.Key, qt.Equals, tt.key)
				c.Assert(*qu.Repeatable, qt.Equals, tt.key == "")
			}
			qus := fi.queries()
			c.Assert(qus[len(qus)-1].Resend, qt.Equals, tt.name == "answer lost, keyed")
		})
	}
}

func TestDoReusesAddressList(t *testing.T) {
	c := qt.New(t)
	fi := &fakeInstances{ttl: time.Hour}
	first := fi.add(t, replyWith(result.Complete))
	fi.add(t, replyWith(result.Complete))
	cl := NewClient(timer.New(), []string{first})
	defer cl.Close()
	used := make(map[string]int)
	for ix := range 10 {
		used[cl.Do(t.Context(), Call{Service: "archivo", Start: ix, Deadline: time.Minute}).Word.Address]++
	}
	c.Assert(fi.lists, qt.Equals, 1)
	c.Assert(used, qt.DeepEquals, map[string]int{fi.addresses[0]: 5, fi.addresses[1]: 5})
}

func TestDoSendsDuplicatedQueryTwice(t *testing.T) {
	c := qt.New(t)
	fi := &fakeInstances{ttl: time.Hour}
	first := fi.add(t, replyWith(result.OutcomeUnknown))
	fi.add(t, replyWith(result.Complete))
	cl := NewClient(timer.New(), []string{first})
	defer cl.Close()
	oc := cl.Do(t.Context(), Call{Service: "archivo", RequestID: "q", Key: "k", Duplicated: true, Deadline: time.Minute})
	c.Assert(oc.Attempts, qt.HasLen, 2)
	c.Assert(oc.Word.Answer.Code, qt.Equals, result.Complete)
	qus := fi.queries()
	c.Assert(qus[0].Key+qus[1].Key, qt.Equals, "kk")
	c.Assert(qus[0].RequestID, qt.Not(qt.Equals), qus[1].RequestID)
	c.Assert(qus[0].Resend, qt.Not(qt.Equals), qus[1].Resend)
}

// A caller's list consists of an instance that had just started and returned only its own
// address; that instance is killed, and the seeds have stopped before. If the client did not
// keep older addresses, every later query would be lost although the tier is up.
func TestDoFallsBackToOlderAddresses(t *testing.T) {
	c := qt.New(t)
	gone, fi := &fakeInstances{}, &fakeInstances{ttl: time.Hour}
	seed := gone.add(t, replyWith(result.Complete))
	fi.add(t, replyWith(result.Complete))
	gone.addresses, gone.ttl = fi.addresses, time.Hour
	cl := NewClient(timer.New(), []string{seed})
	defer cl.Close()
	c.Assert(cl.Do(t.Context(), Call{Service: "archivo", Deadline: time.Minute}).Word.Err, qt.IsNil)

	cl.seeds = []string{closedAddress(t)}
	cl.lists["archivo"].addresses = cl.seeds
	at := cl.Do(t.Context(), Call{Service: "archivo", Deadline: time.Minute}).Word
	c.Assert(at.Err, qt.IsNil)
	c.Assert(at.Address, qt.Equals, fi.addresses[0])
}
