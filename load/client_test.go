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

// entries are fake instances that share an address list.
type entries struct {
	mu        sync.Mutex
	addresses []string
	ttl       time.Duration
	lists     int // lists counts the address lists given out.
	seen      []caller.Query
}

// add starts a fake instance that gives the reply, or closes the connection if
// it is nil.
func (es *entries) add(t *testing.T, reply func(qu caller.Query) *fanout.Answer) string {
	sv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == caller.AddressesPath {
			es.mu.Lock()
			defer es.mu.Unlock()
			es.lists++
			_ = json.NewEncoder(rw).Encode(caller.Addresses{Addresses: es.addresses, TTLMillis: es.ttl.Milliseconds()})
			return
		}
		var qu caller.Query
		_ = json.NewDecoder(rq.Body).Decode(&qu)
		es.mu.Lock()
		es.seen = append(es.seen, qu)
		es.mu.Unlock()
		an := reply(qu)
		if an == nil {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(an.Code.Status())
		_ = json.NewEncoder(rw).Encode(an)
	}))
	t.Cleanup(sv.Close)
	address := strings.TrimPrefix(sv.URL, "http://")
	es.addresses = append(es.addresses, address)
	return address
}

// queries returns what the fake instances were sent.
func (es *entries) queries() []caller.Query {
	es.mu.Lock()
	defer es.mu.Unlock()
	return slices.Clone(es.seen)
}

func coded(code result.Code) func(caller.Query) *fanout.Answer {
	return func(qu caller.Query) *fanout.Answer { return &fanout.Answer{RequestID: qu.RequestID, Code: code} }
}

func lostAnswer(caller.Query) *fanout.Answer { return nil }

// refusing returns an address at which nobody listens.
func refusing(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// A caller whose list is old meets instances that are gone, that leave, or that
// die with its query; what it may do then depends on what may have run.
func TestAsk(t *testing.T) {
	nobody := refusing(t)
	for _, tt := range []struct {
		name  string
		first func(caller.Query) *fanout.Answer // first is nil for an instance that is gone.
		key   string
		want  result.Code
		tries int
		lost  bool
	}{
		{"answer", coded(result.Complete), "", result.Complete, 1, false},
		{"refusal", coded(result.NotRunOverloaded), "", result.NotRunOverloaded, 1, false},
		{"instance gone", nil, "", result.Complete, 2, false},
		{"instance gone, keyed", nil, "k", result.Complete, 2, false},
		{"instance leaves", coded(result.NotRunDraining), "", result.Complete, 2, false},
		{"instance stale", coded(result.NotRunStale), "", result.Complete, 2, false},
		{"answer lost", lostAnswer, "", 0, 1, true},
		{"answer lost, keyed", lostAnswer, "k", result.Complete, 2, false},
		{"outcome unknown", coded(result.OutcomeUnknown), "k", result.OutcomeUnknown, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			es := &entries{ttl: time.Hour}
			if tt.first != nil {
				es.add(t, tt.first)
			} else {
				es.addresses = []string{nobody}
			}
			second := es.add(t, coded(result.Complete))
			cl := NewClient(timer.New(), []string{second})
			defer cl.Close()
			oc := cl.Do(t.Context(), Call{Service: "archivo", RequestID: "q", Key: tt.key, Deadline: time.Minute, Query: json.RawMessage(`1`)})
			c.Assert(oc.Attempts, qt.HasLen, tt.tries)
			c.Assert(oc.Word.Err != nil, qt.Equals, tt.lost, qt.Commentf("%v", oc.Word.Err))
			c.Assert(oc.Word.Answer.Code, qt.Equals, tt.want)
			for _, qu := range es.queries() {
				c.Assert(qu.Key, qt.Equals, tt.key)
				c.Assert(*qu.Repeatable, qt.Equals, tt.key == "")
			}
			qus := es.queries()
			c.Assert(qus[len(qus)-1].Resend, qt.Equals, tt.name == "answer lost, keyed")
		})
	}
}

func TestAskKeepsAddresses(t *testing.T) {
	c := qt.New(t)
	es := &entries{ttl: time.Hour}
	first := es.add(t, coded(result.Complete))
	es.add(t, coded(result.Complete))
	cl := NewClient(timer.New(), []string{first})
	defer cl.Close()
	used := make(map[string]int)
	for ix := range 10 {
		used[cl.Do(t.Context(), Call{Service: "archivo", Start: ix, Deadline: time.Minute}).Word.Address]++
	}
	c.Assert(es.lists, qt.Equals, 1)
	c.Assert(used, qt.DeepEquals, map[string]int{es.addresses[0]: 5, es.addresses[1]: 5})
}

func TestAskTwice(t *testing.T) {
	c := qt.New(t)
	es := &entries{ttl: time.Hour}
	first := es.add(t, coded(result.OutcomeUnknown))
	es.add(t, coded(result.Complete))
	cl := NewClient(timer.New(), []string{first})
	defer cl.Close()
	oc := cl.Do(t.Context(), Call{Service: "archivo", RequestID: "q", Key: "k", Duplicated: true, Deadline: time.Minute})
	c.Assert(oc.Attempts, qt.HasLen, 2)
	c.Assert(oc.Word.Answer.Code, qt.Equals, result.Complete)
	qus := es.queries()
	c.Assert(qus[0].Key+qus[1].Key, qt.Equals, "kk")
	c.Assert(qus[0].RequestID, qt.Not(qt.Equals), qus[1].RequestID)
	c.Assert(qus[0].Resend, qt.Not(qt.Equals), qus[1].Resend)
}

// A caller's list shrinks to an instance that has just started and names itself
// alone, and that instance is killed; those the caller began with have gone
// before. Without a memory of older lists every later query is lost, though the
// tier is up.
func TestAskFindsTheTierAgain(t *testing.T) {
	c := qt.New(t)
	gone, es := &entries{}, &entries{ttl: time.Hour}
	seed := gone.add(t, coded(result.Complete))
	es.add(t, coded(result.Complete))
	gone.addresses, gone.ttl = es.addresses, time.Hour
	cl := NewClient(timer.New(), []string{seed})
	defer cl.Close()
	c.Assert(cl.Do(t.Context(), Call{Service: "archivo", Deadline: time.Minute}).Word.Err, qt.IsNil)

	cl.seeds = []string{refusing(t)}
	cl.lists["archivo"].addresses = cl.seeds
	at := cl.Do(t.Context(), Call{Service: "archivo", Deadline: time.Minute}).Word
	c.Assert(at.Err, qt.IsNil)
	c.Assert(at.Address, qt.Equals, es.addresses[0])
}
