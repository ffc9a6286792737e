package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"balsamwinch.example/result"
)

// bookingCallers is the number of concurrent callers that send bookings.
const bookingCallers = 8

// bookings sends requests that must not run twice. Like a real caller, it resends a request
// with an unknown outcome through the next instance.
type bookings struct {
	addresses func() []string
	service   string
	count     int64
	next      atomic.Int64
	wg        sync.WaitGroup
	mu        sync.Mutex
	lastCodes map[string]result.Code // last result code received for each key
}

// cmdBookings implements "bookings SERVICE COUNT INSTANCE...": it starts callers that send
// bookings in the background. The environment variable BOOKINGS replaces COUNT.
func cmdBookings(ts *testscript.TestScript, _ bool, args []string) {
	if more := os.Getenv("BOOKINGS"); more != "" {
		args[1] = more
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	cl := clusterOf(ts)
	bo := &bookings{service: args[0], count: count, lastCodes: make(map[string]result.Code)}
	bo.addresses = func() []string { return cl.callerAddressesOf(args[2:]) }
	cl.bookings = bo
	for range bookingCallers {
		bo.wg.Go(bo.run)
	}
}

// callerAddressesOf returns the caller addresses that the instances printed at their last
// start.
func (cl *cluster) callerAddressesOf(names []string) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []string
	for _, name := range names {
		out = append(out, cl.callerAddresses[name])
	}
	return out
}

func (bo *bookings) run() {
	for {
		ix := bo.next.Add(1)
		if ix > bo.count {
			return
		}
		key := fmt.Sprintf("booking-%d", ix)
		code := bo.book(key, int(ix))
		bo.mu.Lock()
		bo.lastCodes[key] = code
		bo.mu.Unlock()
	}
}

// book sends one booking until an answer gives its outcome, at most ten times.
func (bo *bookings) book(key string, ix int) result.Code {
	code := result.OutcomeUnknown
	for try := range 10 {
		ads := bo.addresses()
		got, err := bo.send(ads[(ix+try)%len(ads)], key, try > 0)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		code = got
		if code == result.Complete || code == result.Partial {
			return code
		}
		time.Sleep(20 * time.Millisecond)
	}
	return code
}

func (bo *bookings) send(address, key string, resend bool) (result.Code, error) {
	body := fmt.Sprintf(`{"Repeatable":false,"Key":%q,"Resend":%v,"DeadlineMillis":1500,"Query":{}}`, key, resend)
	rs, err := http.Post("http://"+address+"/services/"+bo.service+"/query", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer rs.Body.Close()
	var an struct{ Code result.Code }
	err = json.NewDecoder(rs.Body).Decode(&an)
	return an.Code, err
}

// cmdBooked implements "booked CONTROLADDRESS...": it waits for all bookings and compares the
// answers that callers received with the requests that the backend servers ran.
func cmdBooked(ts *testscript.TestScript, _ bool, args []string) {
	bo := clusterOf(ts).bookings
	bo.wg.Wait()
	twice, contradicted, ran, unknown, notRun := 0, 0, 0, 0, 0
	for _, address := range args {
		keyCounts := runsByKey(ts, address)
		for key, count := range keyCounts {
			if count > 1 {
				twice++
			}
			if bo.lastCodes[key].NotRun() {
				contradicted++
			}
		}
		for key, code := range bo.lastCodes {
			if code == result.Complete && keyCounts[key] == 0 {
				contradicted++
			}
		}
	}
	for _, code := range bo.lastCodes {
		switch {
		case code == result.Complete:
			ran++
		case code.NotRun():
			notRun++
		default:
			unknown++
		}
	}
	fmt.Fprintf(ts.Stdout(), "twice %d, lied %d; of %d: ran %d, not run %d, unknown %d\n", twice, contradicted, len(bo.lastCodes), ran, notRun, unknown)
	if out := os.Getenv("BOOKINGS_OUT"); out != "" {
		ts.Check(os.WriteFile(out, fmt.Appendf(nil, "twice %d, lied %d; of %d: ran %d, not run %d, unknown %d\n", twice, contradicted, len(bo.lastCodes), ran, notRun, unknown), 0o600))
	}
}

// runsByKey returns how often a backend server ran the request of each key.
func runsByKey(ts *testscript.TestScript, address string) map[string]int {
	rs, err := http.Get("http://" + address + "/counts")
	ts.Check(err)
	defer rs.Body.Close()
	var co struct{ Executed map[string]int }
	body, err := io.ReadAll(rs.Body)
	ts.Check(err)
	ts.Check(json.Unmarshal(body, &co))
	return co.Executed
}
