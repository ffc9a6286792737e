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

// bookingCallers is how many callers send bookings at a time.
const bookingCallers = 8

// bookings sends requests that must not be repeated, and resends those whose
// outcome it does not know through the next instance, as a caller would.
type bookings struct {
	addresses func() []string
	service   string
	count     int64
	next      atomic.Int64
	wg        sync.WaitGroup
	mu        sync.Mutex
	claims    map[string]result.Code // claims holds the last answer to each key.
}

// cmdBookings starts callers that send bookings in the background: bookings
// SERVICE COUNT INSTANCE... The environment variable BOOKINGS replaces COUNT.
func cmdBookings(ts *testscript.TestScript, _ bool, args []string) {
	if more := os.Getenv("BOOKINGS"); more != "" {
		args[1] = more
	}
	count, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	wo := worldOf(ts)
	bo := &bookings{service: args[0], count: count, claims: make(map[string]result.Code)}
	bo.addresses = func() []string { return wo.callers(args[2:]) }
	wo.books = bo
	for range bookingCallers {
		bo.wg.Go(bo.run)
	}
}

// callers returns the caller addresses of instances as they last started.
func (wo *world) callers(names []string) []string {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var out []string
	for _, name := range names {
		out = append(out, wo.callerOf[name])
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
		bo.claims[key] = code
		bo.mu.Unlock()
	}
}

// book sends one booking until an answer settles it, or ten sends did not.
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

// cmdBooked waits for all bookings and compares what callers were told with what
// the backend servers ran: booked CONTROLADDRESS...
func cmdBooked(ts *testscript.TestScript, _ bool, args []string) {
	bo := worldOf(ts).books
	bo.wg.Wait()
	twice, lied, ran, unknown, notRun := 0, 0, 0, 0, 0
	for _, address := range args {
		runs := keyRuns(ts, address)
		for key, times := range runs {
			if times > 1 {
				twice++
			}
			if bo.claims[key].NotRun() {
				lied++
			}
		}
		for key, code := range bo.claims {
			if code == result.Complete && runs[key] == 0 {
				lied++
			}
		}
	}
	for _, code := range bo.claims {
		switch {
		case code == result.Complete:
			ran++
		case code.NotRun():
			notRun++
		default:
			unknown++
		}
	}
	fmt.Fprintf(ts.Stdout(), "twice %d, lied %d; of %d: ran %d, not run %d, unknown %d\n", twice, lied, len(bo.claims), ran, notRun, unknown)
	if out := os.Getenv("BOOKINGS_OUT"); out != "" {
		ts.Check(os.WriteFile(out, fmt.Appendf(nil, "twice %d, lied %d; of %d: ran %d, not run %d, unknown %d\n", twice, lied, len(bo.claims), ran, notRun, unknown), 0o600))
	}
}

// keyRuns asks a backend server how often it ran each key.
func keyRuns(ts *testscript.TestScript, address string) map[string]int {
	rs, err := http.Get("http://" + address + "/counts")
	ts.Check(err)
	defer rs.Body.Close()
	var co struct{ Executed map[string]int }
	body, err := io.ReadAll(rs.Body)
	ts.Check(err)
	ts.Check(json.Unmarshal(body, &co))
	return co.Executed
}
