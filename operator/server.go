package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/result"
)

// MaxRequestBytes is the maximum size of a request body.
const MaxRequestBytes = 4 << 20

// ChangeTimeout bounds how long the server waits for a change to come into force.
const ChangeTimeout = 10 * time.Second

const maxTextLength = 128

// NewServer returns a handler of the operator endpoints. It responds to each failure with an
// ErrorReply.
func NewServer(be Backend, lg *zap.Logger) http.Handler {
	se := &server{be: be, lg: lg}
	mu := http.NewServeMux()
	mu.HandleFunc("POST "+ChangesPath, se.change)
	mu.HandleFunc("GET "+FilesPath, se.files)
	mu.HandleFunc("GET "+StatusPath, se.status)
	mu.HandleFunc("GET "+AuditPath, se.audit)
	mu.HandleFunc("GET "+ExplainPath, se.explain)
	mu.HandleFunc("POST "+DrainPath, se.drain)
	mu.HandleFunc("POST "+VotersPath, se.voters)
	mu.HandleFunc("/", se.notFound)
	return mu
}

// server handles operator requests by calling a backend.
type server struct {
	be Backend
	lg *zap.Logger
}

// requestError rejects a request before it reaches the backend.
type requestError struct {
	status int
	detail string
}

// Error returns what is wrong with the request.
func (re *requestError) Error() string {
	return re.detail
}

func badRequest(format string, args ...any) error {
	return &requestError{status: http.StatusBadRequest, detail: fmt.Sprintf(format, args...)}
}

func (se *server) change(rw http.ResponseWriter, rq *http.Request) {
	var cr ChangeRequest
	if err := decodeBody(rw, rq, &cr); err != nil {
		se.fail(rw, rq, err)
		return
	}
	if err := cr.check(); err != nil {
		se.fail(rw, rq, err)
		return
	}
	ctx, cancel := context.WithTimeout(rq.Context(), ChangeTimeout)
	defer cancel()
	re, err := se.be.Change(ctx, cr)
	if err != nil {
		se.fail(rw, rq, err)
		return
	}
	se.write(rw, re.Code.Status(), re)
}

func (se *server) files(rw http.ResponseWriter, rq *http.Request) {
	re, err := se.be.Files(rq.Context())
	se.respond(rw, rq, re, err)
}

func (se *server) status(rw http.ResponseWriter, rq *http.Request) {
	re, err := se.be.Status(rq.Context())
	se.respond(rw, rq, re, err)
}

func (se *server) audit(rw http.ResponseWriter, rq *http.Request) {
	var from uint64
	if te := rq.FormValue("from"); te != "" {
		nu, err := strconv.ParseUint(te, 10, 64)
		if err != nil {
			se.fail(rw, rq, badRequest("from: want a whole number, got %q", te))
			return
		}
		from = nu
	}
	re, err := se.be.Audit(rq.Context(), from)
	se.respond(rw, rq, re, err)
}

func (se *server) explain(rw http.ResponseWriter, rq *http.Request) {
	su := rq.FormValue("subject")
	if su == "" || len(su) > maxTextLength {
		se.fail(rw, rq, badRequest("subject: want 1 to %d characters, got %d", maxTextLength, len(su)))
		return
	}
	re, err := se.be.Explain(rq.Context(), su)
	se.respond(rw, rq, re, err)
}

func (se *server) drain(rw http.ResponseWriter, rq *http.Request) {
	var dr DrainRequest
	if err := decodeBody(rw, rq, &dr); err != nil {
		se.fail(rw, rq, err)
		return
	}
	re, err := se.be.Drain(rq.Context(), dr)
	se.respond(rw, rq, re, err)
}

func (se *server) voters(rw http.ResponseWriter, rq *http.Request) {
	var vr VotersRequest
	if err := decodeBody(rw, rq, &vr); err != nil {
		se.fail(rw, rq, err)
		return
	}
	if err := vr.check(); err != nil {
		se.fail(rw, rq, err)
		return
	}
	re, err := se.be.ChangeVoters(rq.Context(), vr)
	se.respond(rw, rq, re, err)
}

func (se *server) notFound(rw http.ResponseWriter, rq *http.Request) {
	re := &requestError{status: http.StatusNotFound, detail: fmt.Sprintf("no endpoint %s", rq.URL.Path)}
	known := []string{ChangesPath, FilesPath, StatusPath, AuditPath, ExplainPath, DrainPath, VotersPath}
	if slices.Contains(known, rq.URL.Path) {
		re = &requestError{status: http.StatusMethodNotAllowed, detail: fmt.Sprintf("no method %s for %s", rq.Method, rq.URL.Path)}
	}
	se.fail(rw, rq, re)
}

func (cr ChangeRequest) check() error {
	if cr.ChangeID == "" || len(cr.ChangeID) > maxTextLength {
		return badRequest("ChangeID: want 1 to %d characters, got %d", maxTextLength, len(cr.ChangeID))
	}
	if cr.Author == "" || len(cr.Author) > maxTextLength {
		return badRequest("Author: want 1 to %d characters, got %d", maxTextLength, len(cr.Author))
	}
	if len(cr.Files) == 0 {
		return badRequest("Files: want at least one file, got none")
	}
	seen := make(map[string]bool)
	for _, fc := range cr.Files {
		if seen[fc.Name] {
			return badRequest("Files: want each file once, got %q twice", fc.Name)
		}
		seen[fc.Name] = true
		if fc.Delete && len(fc.Content) > 0 {
			return badRequest("Files: want no content for a file to delete, got some for %q", fc.Name)
		}
	}
	return nil
}

func (vr VotersRequest) check() error {
	if vr.Name == "" || vr.Author == "" {
		return badRequest("want Name and Author, got %q and %q", vr.Name, vr.Author)
	}
	adds := vr.Action == AddVoter || vr.Action == ReplaceVoter
	switch {
	case !adds && vr.Action != RemoveVoter:
		return badRequest("Action: want Add, Remove or Replace, got %q", vr.Action)
	case adds && vr.Address == "":
		return badRequest("Address: want the peer address of the new voter, got nothing")
	case (vr.Action == ReplaceVoter) != (vr.Replaces != ""):
		return badRequest("Replaces: want it with Replace and only then, got %q with %s", vr.Replaces, vr.Action)
	default:
		return nil
	}
}

// decodeBody decodes a JSON body that is bounded in size. Unknown fields and trailing data are
// errors.
func decodeBody(rw http.ResponseWriter, rq *http.Request, out any) error {
	// A browser sends a form or plain text to any address without a preflight request, so a
	// web page that an operator opens could otherwise drain an instance.
	mt, _, _ := mime.ParseMediaType(rq.Header.Get("Content-Type"))
	if mt != "application/json" {
		return &requestError{status: http.StatusUnsupportedMediaType, detail: fmt.Sprintf("want the content type application/json, got %q", mt)}
	}
	de := json.NewDecoder(http.MaxBytesReader(rw, rq.Body, MaxRequestBytes))
	de.DisallowUnknownFields()
	err := de.Decode(out)
	if err == nil {
		if _, err = de.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more after the end")
	}
	if mb := (*http.MaxBytesError)(nil); errors.As(err, &mb) {
		return &requestError{status: http.StatusRequestEntityTooLarge, detail: fmt.Sprintf("want at most %d bytes", mb.Limit)}
	}
	return badRequest("want one JSON object, got: %v", err)
}

func (se *server) respond(rw http.ResponseWriter, rq *http.Request, re any, err error) {
	if err != nil {
		se.fail(rw, rq, err)
		return
	}
	se.write(rw, http.StatusOK, re)
}

func (se *server) fail(rw http.ResponseWriter, rq *http.Request, err error) {
	st, er := errorReply(err)
	se.lg.Info("operator request rejected",
		zap.String("path", rq.URL.Path), zap.Int("status", st), zap.String("detail", er.Detail))
	se.write(rw, st, er)
}

func errorReply(err error) (int, ErrorReply) {
	er := ErrorReply{Code: result.ControlUnavailable, Detail: err.Error()}
	st := http.StatusInternalServerError
	var nl *NotLeaderError
	var re *result.Error
	var rq *requestError
	switch {
	case errors.As(err, &nl):
		er.Code, er.Leader = result.NotLeader, nl.Leader
		st = er.Code.Status()
	case errors.As(err, &re):
		er.Code, er.RetryAfterMillis = re.Code, re.RetryAfter.Milliseconds()
		er.Detail = detail(re)
		st = er.Code.Status()
	case errors.As(err, &rq):
		er.Code = result.NotRunBadRequest
		st = rq.status
	}
	er.Name = er.Code.String()
	return st, er
}

// detail formats the error without its code, which the reply carries in a separate field.
func detail(re *result.Error) string {
	te := re.Op
	if re.Detail != "" {
		te += ": " + re.Detail
	}
	if re.Err != nil {
		te += ": " + re.Err.Error()
	}
	return te
}

func (se *server) write(rw http.ResponseWriter, status int, re any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if err := json.NewEncoder(rw).Encode(re); err != nil {
		se.lg.Info("operator response not sent", zap.Error(err))
	}
}
