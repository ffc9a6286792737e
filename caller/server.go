package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	randv2 "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/fanout"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// Limits of a query; maxIDBytes bounds request ids and keys.
const (
	maxBodyBytes = 1 << 20
	maxDeadline  = 10 * time.Minute
	maxIDBytes   = 200
)

// Runner answers queries; the implementation in use is fanout.Engine.
type Runner interface {
	Run(ctx context.Context, qu fanout.Query) fanout.Answer
}

// Server is the HTTP handler for callers.
type Server struct {
	ce *view.Cell
	ru Runner
	ts *timer.Service
	lg *zap.Logger
	mu *http.ServeMux
}

// New returns a handler that reads the newest view from the cell and runs
// queries with the runner.
func New(ce *view.Cell, ru Runner, ts *timer.Service, lg *zap.Logger) *Server {
	se := &Server{ce: ce, ru: ru, ts: ts, lg: lg, mu: http.NewServeMux()}
	se.mu.HandleFunc("GET "+AddressesPath, se.addresses)
	se.mu.HandleFunc("POST "+QueryPath, se.query)
	return se
}

// ServeHTTP serves one request of a caller.
func (se *Server) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	se.mu.ServeHTTP(rw, rq)
}

func (se *Server) addresses(rw http.ResponseWriter, rq *http.Request) {
	vi := se.ce.Load()
	dataCentre := rq.URL.Query().Get("DataCentre")
	if dataCentre == "" {
		dataCentre = vi.Self.DataCentre
	}
	ins := RankInstances(vi, rq.URL.Query().Get("Service"), dataCentre, randv2.Uint64())
	ad := Addresses{TTLMillis: vi.Configuration.Limits.AddressTTLMillis}
	for _, in := range ins {
		ad.Addresses = append(ad.Addresses, in.CallerAddress)
	}
	writeJSON(rw, http.StatusOK, ad)
}

func (se *Server) query(rw http.ResponseWriter, rq *http.Request) {
	arrived := se.ts.Now()
	qu, err := decode(rq)
	if err != nil {
		se.reject(rw, qu.RequestID, err)
		return
	}
	an := se.ru.Run(rq.Context(), se.toFanout(rq.PathValue("Service"), qu, arrived))
	se.answer(rw, an)
}

// toFanout converts a query and fills in defaults. A deadline of zero is
// replaced by the one in the service's configuration.
func (se *Server) toFanout(service string, qu Query, arrived time.Time) fanout.Query {
	fq := fanout.Query{
		RequestID:  qu.RequestID,
		Service:    service,
		Repeatable: qu.Repeatable == nil || *qu.Repeatable,
		Key:        qu.Key,
		Resend:     qu.Resend,
		Policy:     qu.Policy,
		Shards:     qu.Shards,
		Body:       qu.Query,
	}
	dl := time.Duration(qu.DeadlineMillis) * time.Millisecond
	if dl == 0 {
		dl = se.ce.Load().Configuration.Services[service].Deadline()
	}
	fq.Deadline = arrived.Add(dl)
	return fq
}

func decode(rq *http.Request) (Query, error) {
	var qu Query
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes+1))
	if err != nil {
		return qu, fmt.Errorf("body was cut: %w", err)
	}
	if len(body) > maxBodyBytes {
		return qu, fmt.Errorf("body: want at most %d bytes", maxBodyBytes)
	}
	if err := unmarshal(body, &qu); err != nil {
		return qu, fmt.Errorf("body: %w", err)
	}
	if qu.RequestID == "" {
		qu.RequestID = rand.Text()
	}
	return qu, validate(qu)
}

// unmarshal rejects unknown fields: if a misspelt Repeatable were ignored, a
// request that must run at most once could run repeatedly.
func unmarshal(body []byte, qu *Query) error {
	de := json.NewDecoder(bytes.NewReader(body))
	de.DisallowUnknownFields()
	if err := de.Decode(qu); err != nil {
		return err
	}
	if de.More() {
		return errors.New("want one JSON value")
	}
	return nil
}

func validate(qu Query) error {
	switch {
	case len(qu.RequestID) > maxIDBytes:
		return fmt.Errorf("RequestID: want at most %d bytes", maxIDBytes)
	case len(qu.Key) > maxIDBytes:
		return fmt.Errorf("Key: want at most %d bytes", maxIDBytes)
	case qu.DeadlineMillis < 0 || qu.DeadlineMillis > maxDeadline.Milliseconds():
		return fmt.Errorf("DeadlineMillis: want 0 to %d", maxDeadline.Milliseconds())
	case qu.Policy != "" && qu.Policy != operator.Complete && qu.Policy != operator.Best:
		return fmt.Errorf("Policy: want %s or %s, got %q", operator.Complete, operator.Best, qu.Policy)
	case qu.Repeatable != nil && !*qu.Repeatable && qu.Key == "":
		return errors.New("a request that is not repeatable needs a Key")
	default:
		return nil
	}
}

func (se *Server) reject(rw http.ResponseWriter, id string, err error) {
	se.answer(rw, fanout.Answer{
		RequestID: id,
		Instance:  se.ce.Load().Self.Name,
		Code:      result.NotRunBadRequest,
		Detail:    err.Error(),
	})
}

// answer writes an answer. While the instance drains, it asks the caller to
// close the connection, so that no caller still uses one that is cut when the
// instance stops.
func (se *Server) answer(rw http.ResponseWriter, an fanout.Answer) {
	if se.ce.Load().Draining {
		rw.Header().Set("Connection", "close")
	}
	if an.RetryAfterMillis > 0 {
		secs := math.Ceil(float64(an.RetryAfterMillis) / 1000)
		rw.Header().Set("Retry-After", strconv.Itoa(int(secs)))
	}
	writeJSON(rw, an.Code.Status(), an)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
