package main

import (
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/snapshot"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"balsamctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       os.Getenv("UPDATE_SCRIPTS") != "",
		RequireExplicitExec: true,
		Setup: func(en *testscript.Env) error {
			ti := &fakeTier{state: control.NewState(), committed: make(chan struct{})}
			sv := httptest.NewServer(operator.NewServer(ti, zap.NewNop()))
			en.Defer(sv.Close)
			en.Values[tierKey{}] = ti
			en.Setenv("TIER", sv.Listener.Addr().String())
			en.Setenv(envInstances, sv.Listener.Addr().String())
			en.Setenv(envAuthor, "ana")
			en.Setenv("GORACE", "atexit_sleep_ms=10") // by default each command that is built with -race exits a second late
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// exits runs a command and fails unless it exits with the given code.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				var ee *exec.ExitError
				if !errors.As(err, &ee) || strconv.Itoa(ee.ExitCode()) != args[0] {
					ts.Fatalf("want exit code %s, got %v", args[0], err)
				}
			},
			// committed waits until the tier has made a change whose answer it withholds.
			"committed": func(ts *testscript.TestScript, _ bool, _ []string) {
				<-ts.Value(tierKey{}).(*fakeTier).committed
			},
			// tamper alters the audit trail that the tier returns.
			"tamper": func(ts *testscript.TestScript, _ bool, _ []string) {
				ti := ts.Value(tierKey{}).(*fakeTier)
				ti.mu.Lock()
				defer ti.mu.Unlock()
				ti.tampered = true
			},
		},
	})
}

type tierKey struct{}

// fakeTier is a tier of one instance. It applies changes to the real control state but has no
// log.
type fakeTier struct {
	mu         sync.Mutex
	index      uint64
	state      control.State
	committed  chan struct{}
	answerHeld bool
	tampered   bool
}

// Change withholds the first answer to the author "hasty" until the request is canceled. It
// reports every accepted change of the author "slow" as pending.
func (ti *fakeTier) Change(ctx context.Context, cr operator.ChangeRequest) (operator.ChangeReply, error) {
	cm := control.Change{ChangeID: cr.ChangeID, Author: cr.Author, When: time.Unix(1_780_000_000, 0)}
	for _, fc := range cr.Files {
		cm.Files = append(cm.Files, control.FileChange(fc))
	}
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.index++
	next, oc := ti.state.Apply(ti.index, cm)
	ti.state = next
	if cr.Author == "hasty" && !ti.answerHeld {
		ti.answerHeld = true
		close(ti.committed)
		<-ctx.Done()
	}
	co := oc.(control.ChangeOutcome)
	re := operator.ChangeReply{Code: co.Code, Revision: co.Revision, Faults: co.Faults}
	if co.Conflict != nil {
		re.Conflict = new(operator.Conflict(*co.Conflict))
	}
	if cr.Author == "slow" && re.Code == result.Accepted {
		re.Code, re.WaitingFor = result.Pending, []string{"entry-2"}
	}
	return re, nil
}

func (ti *fakeTier) Files(context.Context) (operator.FilesReply, error) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	re := operator.FilesReply{Revision: ti.state.Revision()}
	for _, fi := range ti.state.Files() {
		re.Files = append(re.Files, operator.StoredFile{Name: fi.Name, Content: fi.Content, Revision: fi.Revision, Author: fi.Author, ChangeID: fi.ChangeID})
	}
	return re, nil
}

func (ti *fakeTier) Audit(_ context.Context, from uint64) (operator.AuditReply, error) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	var re operator.AuditReply
	for _, ce := range ti.state.Audit(from) {
		en := operator.AuditEntry{
			Number: ce.Number, When: ce.When, Author: ce.Author, ChangeID: ce.ChangeID,
			Code: ce.Code, Revision: ce.Revision, Detail: ce.Detail, Previous: ce.Previous, Hash: ce.Hash,
		}
		for _, af := range ce.Files {
			en.Files = append(en.Files, operator.AuditFile(af))
		}
		if ti.tampered {
			en.Author = "nobody"
		}
		re.Entries = append(re.Entries, en)
	}
	return re, nil
}

func (ti *fakeTier) Status(context.Context) (operator.Status, error) {
	return operator.Status{
		Instance: "entry-1", Leader: "entry-2", Term: 4, Revision: 12,
		Voters:    []operator.VoterStatus{{ID: "d1", Name: "entry-1", Address: "10.0.0.1:7004"}, {ID: "d2", Name: "entry-2", Learner: true}},
		Instances: []operator.InstanceStatus{{Name: "entry-1", Region: "lima", DataCentre: "surquillo", Roles: []settings.Role{settings.Entry}, LeaseMillis: 900}},
		Services:  []operator.ServiceStatus{{Name: "archivo", Policy: operator.Best, Snapshot: snapshot.ID{Partition: 1, Version: 7}, Shards: 13, Covered: 12, Unannounced: []string{"12"}}},
		Servers:   []operator.ServerStatus{{Name: "archivo-00", Service: "archivo", Address: "10.0.9.1:80", DataCentre: "surquillo", State: "Serving", Slots: 6, InFlight: 2}},
	}, nil
}

func (ti *fakeTier) Explain(_ context.Context, subject string) (operator.Explanation, error) {
	return operator.Explanation{Subject: subject, Lines: []string{subject + " leads since term 4"}}, nil
}

func (ti *fakeTier) Drain(_ context.Context, dr operator.DrainRequest) (operator.DrainReply, error) {
	if dr.Instance != "" && dr.Instance != "entry-1" {
		return operator.DrainReply{}, &result.Error{Code: result.NotRunBadRequest, Op: "drain", Detail: "this is entry-1"}
	}
	return operator.DrainReply{Instance: "entry-1", StopsWithinMillis: 15_000}, nil
}

func (ti *fakeTier) ChangeVoters(_ context.Context, vr operator.VotersRequest) (operator.VotersReply, error) {
	return operator.VotersReply{Detail: string(vr.Action) + " " + vr.Name + " " + vr.Replaces + " by " + vr.Author}, nil
}
