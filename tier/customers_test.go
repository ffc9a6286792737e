package tier_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/tier"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// seenHeaders records the headers of requests at backend servers by path.
type seenHeaders struct {
	mu     sync.Mutex
	byPath map[string][]http.Header
}

// handler returns the handler of a backend server that records headers.
func (sh *seenHeaders) handler(be *backend) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		sh.mu.Lock()
		sh.byPath[rq.URL.Path] = append(sh.byPath[rq.URL.Path], rq.Header)
		sh.mu.Unlock()
		be.ServeHTTP(wr, rq)
	})
}

// names returns the customer names of the requests to a path, each once, and whether any of
// them had a key.
func (sh *seenHeaders) names(path string) (names []string, key bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	seen := make(map[string]bool)
	for _, he := range sh.byPath[path] {
		name := strings.Join(he.Values("Balsamwinch-Tenant"), ",")
		if !seen[name] {
			names = append(names, name)
		}
		seen[name] = true
		key = key || he.Get("Authorization") != "" || strings.Contains(fmt.Sprint(he), "sk-")
	}
	return names, key
}

// status sends a request with a key and a customer name of the caller's choice to an entry
// instance.
func (cl *cluster) status(en *instance, path, key string) int {
	rq, err := http.NewRequestWithContext(cl.ctx, http.MethodGet, "http://"+en.se.Listen.Callers+path, nil)
	qt.Assert(cl.t, err, qt.IsNil)
	rq.Host = "a.example"
	rq.Header = http.Header{"Balsamwinch-Request-Id": {newID()}, "Balsamwinch-Tenant": {"somebody"}}
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	rs, err := cl.hc.Do(rq)
	if err != nil {
		return 0
	}
	_ = rs.Body.Close()
	return rs.StatusCode
}

// The platform's names, from the operator's configuration to the backend servers: each
// entry instance must require the keys of the newest version, backend servers must get the
// name of the key's holder alone, and logs and metrics of all instances must hold no key.
// The files that hold keys may be read by their owner alone.
func TestCustomersInTheWholeTier(t *testing.T) {
	var out buffer
	cl := newCluster(t, 3, 2, func(in *instance) {
		lg, wr := trail.New(&out, trail.Config{Instance: in.se.Name}, timer.New())
		in.lg, in.mws = lg, []tier.MetricsWriter{wr.WriteMetrics}
	})
	sh := &seenHeaders{byPath: make(map[string][]http.Header)}
	for _, service := range []string{"s1", "p1", "p2", "p3"} {
		cl.startServer(service, "i-"+service+"-0", sh.handler)
	}
	version := func(number int, tenants string) []byte {
		text := string(config(number, "s1", "/open/"))
		text = strings.Replace(text, `"name":"extra"`, `"name":"extra","public":true`, 1)
		return []byte(strings.Replace(text, `"services":[`, `"tenants":`+tenants+`,"services":[`, 1))
	}
	// await waits until every entry instance answers with a status.
	await := func(path, key string, status int) {
		t.Helper()
		for _, en := range cl.entries {
			cl.await(fmt.Sprint(path, " is answered with ", status), func() bool { return cl.status(en, path, key) == status })
		}
	}
	cl.configure(version(1, `[{"name":"linda","api_keys":["sk-1","sk-2"]},{"name":"otter","api_keys":["sk-3"],"rate_per_s":1000,"burst":1000}]`), cl.controls...)
	await("/all/linda", "sk-1", http.StatusOK)
	await("/one/otter", "sk-3", http.StatusOK)
	await("/open/nobody", "", http.StatusOK)
	await("/open/unknown", "sk-9", http.StatusOK)
	await("/open/linda", "sk-2", http.StatusOK)
	await("/all/none", "", http.StatusUnauthorized)
	await("/one/wrong", "sk-9", http.StatusUnauthorized)
	await("/none/x", "", http.StatusNotFound)
	for path, want := range map[string][]string{
		"/all/linda": {"linda"}, "/one/otter": {"otter"}, "/open/nobody": {""}, "/open/unknown": {""}, "/open/linda": {"linda"}, "/all/none": nil, "/one/wrong": nil,
	} {
		names, key := sh.names(path)
		qt.Check(t, names, qt.DeepEquals, want, qt.Commentf(path))
		qt.Check(t, key, qt.IsFalse, qt.Commentf(path))
	}

	shared := version(2, `[{"name":"linda","api_keys":["sk-1"]},{"name":"heron","api_keys":["sk-1"]}]`)
	status, body := cl.call(http.MethodPut, cl.controls[0].se.Listen.Control, "/config", shared)
	qt.Check(t, status, qt.Equals, http.StatusBadRequest)
	qt.Check(t, strings.Contains(string(body), "heron"), qt.IsTrue, qt.Commentf("%s", body))
	qt.Check(t, strings.Contains(string(body), "sk-"), qt.IsFalse, qt.Commentf("%s", body))

	cl.configure(version(2, `[{"name":"linda","api_keys":["sk-2"]},{"name":"heron","api_keys":["sk-3"]}]`), cl.controls...)
	await("/one/gone", "sk-1", http.StatusUnauthorized)
	await("/one/moved", "sk-3", http.StatusOK)
	names, _ := sh.names("/one/moved")
	qt.Check(t, names, qt.DeepEquals, []string{"heron"})
	cl.configure(version(3, `[]`), cl.controls...)
	await("/one/linda", "sk-2", http.StatusUnauthorized)
	await("/open/linda", "sk-2", http.StatusOK)

	for _, in := range cl.instances {
		if in.se.DataFolder != "" {
			checkModes(t, in.se.DataFolder)
		}
		status, text := cl.call(http.MethodGet, in.se.Metrics, tier.MetricsPath, nil)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, bytes.Contains(text, []byte("sk-")), qt.IsFalse, qt.Commentf("%s", text))
	}
	qt.Check(t, strings.Contains(out.String(), "configuration-in-force"), qt.IsTrue)
	qt.Check(t, strings.Contains(out.String(), `"Code":110`), qt.IsTrue)
	qt.Check(t, strings.Contains(out.String(), "sk-"), qt.IsFalse)
}

// checkModes fails the test unless all files and folders below a folder can be read by
// their owner alone, and some file exists.
func checkModes(t *testing.T, folder string) {
	t.Helper()
	files := 0
	qt.Assert(t, filepath.WalkDir(folder, func(path string, de fs.DirEntry, err error) error {
		qt.Assert(t, err, qt.IsNil)
		if path == folder {
			return nil
		}
		in, err := de.Info()
		qt.Assert(t, err, qt.IsNil)
		want := fs.FileMode(0o600)
		if de.IsDir() {
			want = 0o700
		} else {
			files++
		}
		qt.Check(t, in.Mode().Perm(), qt.Equals, want, qt.Commentf(path))
		return nil
	}), qt.IsNil)
	qt.Assert(t, files > 0, qt.IsTrue)
}

// buffer is a buffer that several instances write to.
type buffer struct {
	mu sync.Mutex
	bu bytes.Buffer
}

func (bu *buffer) Write(data []byte) (int, error) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.bu.Write(data)
}

func (bu *buffer) String() string {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.bu.String()
}
