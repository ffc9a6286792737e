package emulate

import (
	"encoding/json"
	"net/http"

	"balsamwinch.example/gateway"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
	"balsamwinch.example/tier"
)

// The headers of the dialect.
const (
	headerRequestID = "Request-Id"
	headerDeadline  = "Timeout-Millis"
	headerExpect    = "Expect-Server"
	headerStamp     = "Server-Stamp"
	headerNotRun    = "Not-Run"
	headerLoad      = "Server-Load"
	headerServer    = "Server-Id"
	headerParts     = "Part-Stamps"
	headerMissing   = "Missing-Parts"
)

// Dialect is the product's own dialect. Operators call PUT and GET
// /configuration, backend servers PUT and DELETE /servers/{id}, callers
// GET /addresses?DataCentre=NAME, and GET /ready tells whether an entry instance
// serves.
type Dialect struct{}

var _ tier.Dialect = Dialect{}

// Names returns the header names.
func (Dialect) Names() gateway.HeaderNames {
	return gateway.HeaderNames{
		RequestID: headerRequestID, Deadline: headerDeadline, ExpectServer: headerExpect,
		Stamp: headerStamp, NotRun: headerNotRun, ServerLoad: headerLoad,
		ServerID: headerServer, PartStamps: headerParts, MissingParts: headerMissing,
	}
}

// Table reads a configuration in YAML or JSON. The error lists its faults.
func (Dialect) Table(data []byte) (*route.Table, error) { return table(data) }

// Tables returns what reads one configuration after the other.
func (di Dialect) Tables() tier.ConfigurationParser { return di }

// ControlHandler serves operators and backend servers.
func (Dialect) ControlHandler(co tier.ControlAPI) http.Handler {
	mx := http.NewServeMux()
	ch := &controlHandler{co: co}
	mx.HandleFunc("PUT /configuration", ch.write)
	mx.HandleFunc("GET /configuration", ch.read)
	mx.HandleFunc("GET /evacuations", ch.evacuations)
	mx.HandleFunc("PUT /evacuations/{DataCentre}", ch.evacuate)
	mx.HandleFunc("DELETE /evacuations/{DataCentre}", ch.evacuate)
	mx.HandleFunc("PUT /servers/{id}", ch.announce)
	mx.HandleFunc("DELETE /servers/{id}", ch.leave)
	return mx
}

// AddressHandler tells callers which entry instances to use.
func (Dialect) AddressHandler(ad tier.AddressAPI) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET /addresses", func(wr http.ResponseWriter, rq *http.Request) {
		qu := rq.URL.Query()
		list, ttl := ad.Addresses(qu.Get("Host"), qu.Get("DataCentre"), qu.Get("Region"))
		tier.WriteJSON(wr, http.StatusOK, addressList{Addresses: list, TTLMillis: ttl.Milliseconds()})
	})
	return mx
}

// ReadyHandler tells whether an entry instance serves callers.
func (Dialect) ReadyHandler(ready func() bool) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET /ready", func(wr http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writeFault(wr, http.StatusServiceUnavailable, "not ready")
			return
		}
		tier.WriteJSON(wr, http.StatusOK, struct{}{})
	})
	return mx
}

type addressList struct {
	Addresses []string
	TTLMillis int64
}

type evacuationList struct {
	Revision    uint64
	DataCentres []string
}

type faultAnswer struct {
	Detail string
}

// announcement is the body of a backend server's call; its id is in the path.
type announcement struct {
	Service    string
	Address    string
	DataCentre string
	Version    string
	Slots      int
	State      string // State is Ready or Draining.
	Sequence   uint64
	WarmMillis int64
	Born       int64 `json:",omitempty"` // Born is when the server started, in Unix milliseconds; it may be left out.
}

const badState = "State: want Ready or Draining"

type controlHandler struct {
	co tier.ControlAPI
}

func (ch *controlHandler) write(wr http.ResponseWriter, rq *http.Request) {
	data, ok := ch.body(wr, rq)
	if !ok {
		return
	}
	tb, err := table(data)
	if err != nil {
		writeFault(wr, http.StatusBadRequest, err.Error())
		return
	}
	if err := ch.co.Accept(rq.Context(), tb.Version(), data); err != nil {
		writeFault(wr, tier.AcceptStatus(err), err.Error())
		return
	}
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) read(wr http.ResponseWriter, rq *http.Request) {
	_, data, err := ch.co.Newest(rq.Context())
	if err != nil {
		writeFault(wr, http.StatusServiceUnavailable, err.Error())
		return
	}
	wr.Header().Set("Content-Type", "application/yaml")
	_, _ = wr.Write(data)
}

// evacuations answers with the evacuated data centres as far as this instance knows.
func (ch *controlHandler) evacuations(wr http.ResponseWriter, _ *http.Request) {
	tier.WriteJSON(wr, http.StatusOK, evacuationList(ch.co.Evacuated()))
}

// evacuate takes an order to evacuate a data centre, or DELETE to withdraw that.
func (ch *controlHandler) evacuate(wr http.ResponseWriter, rq *http.Request) {
	err := ch.co.Evacuate(rq.Context(), rq.PathValue("DataCentre"), rq.Method == http.MethodPut, rq.RemoteAddr)
	if err != nil {
		writeFault(wr, tier.EvacuateStatus(err), err.Error())
		return
	}
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) announce(wr http.ResponseWriter, rq *http.Request) {
	data, ok := ch.body(wr, rq)
	if !ok {
		return
	}
	var an announcement
	if err := json.Unmarshal(data, &an); err != nil {
		ch.co.Ignore(rq.PathValue("id"), err.Error())
		writeFault(wr, http.StatusBadRequest, err.Error())
		return
	}
	se := registry.Server{
		ID: rq.PathValue("id"), Service: an.Service, Address: an.Address, DataCentre: an.DataCentre, Version: an.Version,
		Slots: an.Slots, Sequence: an.Sequence, WarmMillis: an.WarmMillis, Born: an.Born,
	}
	switch an.State {
	case registry.Ready.String():
	case registry.Draining.String():
		se.State = registry.Draining
	default:
		ch.co.Ignore(se.ID, badState)
		writeFault(wr, http.StatusBadRequest, badState)
		return
	}
	ch.co.Announce(se)
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) leave(wr http.ResponseWriter, rq *http.Request) {
	ch.co.Leave(rq.PathValue("id"))
	tier.WriteJSON(wr, http.StatusOK, struct{}{})
}

func (ch *controlHandler) body(wr http.ResponseWriter, rq *http.Request) ([]byte, bool) {
	data, status, detail := gateway.ReadBody(wr, rq, ch.co.BodyLimit())
	if status != 0 {
		writeFault(wr, status, detail)
	}
	return data, status == 0
}

func writeFault(wr http.ResponseWriter, status int, detail string) {
	tier.WriteJSON(wr, status, faultAnswer{detail})
}
