package tier

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/timer"
)

// watchTest watches a settings file in synctest's time.
type watchTest struct {
	t      *testing.T
	file   string
	reload chan os.Signal
	out    chan Settings
	logs   *observer.ObservedLogs
	end    context.CancelFunc
}

// goodSettings returns valid settings with the given seed.
func goodSettings(seed string) string {
	return "Name: a\nAddress: 10.0.0.1\nLinkPort: 7740\nListen: {Callers: \"10.0.0.1:80\"}\nSeeds: [\"" + seed + ":80\"]\n"
}

// watch watches a file until the test ends.
func watch(t *testing.T, text string) *watchTest {
	co, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	wt := &watchTest{
		t: t, file: filepath.Join(t.TempDir(), "settings.yaml"), reload: make(chan os.Signal), out: make(chan Settings, 10),
		logs: logs, end: cancel,
	}
	wt.write(text)
	go Watch(ctx, timer.New(), wt.file, wt.reload, wt.out, zap.New(co))
	t.Cleanup(cancel)
	synctest.Wait()
	return wt
}

func (wt *watchTest) write(text string) {
	wt.t.Helper()
	qt.Assert(wt.t, os.WriteFile(wt.file, []byte(text), 0o600), qt.IsNil)
}

// expectSeeds fails the test unless exactly the settings with these seeds arrived since
// the last call.
func (wt *watchTest) expectSeeds(seeds ...string) {
	wt.t.Helper()
	synctest.Wait()
	got := []string{}
	for len(wt.out) > 0 {
		se := <-wt.out
		got = append(got, strings.TrimSuffix(se.Seeds[0], ":80"))
	}
	qt.Assert(wt.t, got, qt.DeepEquals, append([]string{}, seeds...))
}

func (wt *watchTest) count(line string) int { return wt.logs.FilterMessage(line).Len() }

// Guards against an instance that keeps using seeds of control instances that are gone:
// the platform changes the seeds in the settings file without a signal, and the instance
// must notice by itself.
func TestWatchDetectsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wt := watch(t, goodSettings("10.0.0.2"))
		time.Sleep(10 * watchInterval)
		wt.expectSeeds()
		wt.write(goodSettings("10.0.0.3"))
		wt.expectSeeds()
		time.Sleep(watchInterval)
		wt.expectSeeds("10.0.0.3")
		time.Sleep(10 * watchInterval)
		wt.expectSeeds()
	})
}

// With the signal, a change must take effect at once, and unchanged settings must not be
// sent again.
func TestWatchReloadsOnSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wt := watch(t, goodSettings("10.0.0.2"))
		wt.reload <- syscall.SIGHUP
		wt.expectSeeds()
		wt.write(goodSettings("10.0.0.3"))
		wt.reload <- syscall.SIGHUP
		wt.expectSeeds("10.0.0.3")
		wt.reload <- syscall.SIGHUP
		wt.expectSeeds()
		qt.Assert(t, wt.count("reload-asked"), qt.Equals, 3)
	})
}

// Guards against a settings file that is read while it is being written, or is invalid:
// the instance must keep the last valid settings, log that once, and apply the next valid
// ones.
func TestWatchKeepsLastGoodSettings(t *testing.T) {
	good := goodSettings("10.0.0.3")
	for name, bad := range map[string]string{
		"empty": "", "cut short": good[:len(good)/2], "unknown field": good + "X: 1\n", "no seeds": strings.Replace(good, `["10.0.0.3:80"]`, "[]", 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wt := watch(t, goodSettings("10.0.0.2"))
				wt.write(bad)
				time.Sleep(10 * watchInterval)
				wt.reload <- syscall.SIGHUP
				wt.expectSeeds()
				qt.Assert(t, wt.count("settings-refused"), qt.Equals, 1)
				wt.write(good)
				time.Sleep(watchInterval)
				wt.expectSeeds("10.0.0.3")
				wt.write(bad)
				time.Sleep(watchInterval)
				wt.expectSeeds()
				qt.Assert(t, wt.count("settings-refused"), qt.Equals, 2)
			})
		})
	}
}

// The file is missing for a while, as happens when it is replaced by another.
func TestWatchSurvivesMissingFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wt := watch(t, goodSettings("10.0.0.2"))
		qt.Assert(t, os.Remove(wt.file), qt.IsNil)
		time.Sleep(3 * watchInterval)
		wt.reload <- syscall.SIGHUP
		wt.expectSeeds()
		wt.write(goodSettings("10.0.0.2"))
		time.Sleep(3 * watchInterval)
		wt.expectSeeds()
		qt.Assert(t, os.Remove(wt.file), qt.IsNil)
		time.Sleep(watchInterval)
		wt.write(goodSettings("10.0.0.4"))
		time.Sleep(watchInterval)
		wt.expectSeeds("10.0.0.4")
	})
}

// The context ends while nobody receives the reloaded settings.
func TestWatchEndsWhileSendBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wt := watch(t, goodSettings("10.0.0.2"))
		for ix := range cap(wt.out) + 1 {
			wt.write(goodSettings(fmt.Sprintf("10.0.1.%d", ix)))
			time.Sleep(watchInterval)
			synctest.Wait()
		}
		qt.Assert(t, wt.out, qt.HasLen, cap(wt.out))
		wt.end()
	})
}

// Links must be opened to the seeds of the reloaded settings.
func TestSeedChangesTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		co, logs := observer.New(zap.InfoLevel)
		se := Settings{LinkPort: 7740, Seeds: []string{"10.0.0.1:80"}}
		ls := newLiveSettings(se)
		changes := make(chan Settings)
		go ls.applyChanges(ctx, changes, zap.New(co))
		qt.Assert(t, ls.linkSeeds(), qt.DeepEquals, []string{"10.0.0.1:7740"})
		se.Seeds = []string{"10.0.0.2:80", "10.0.0.3:80"}
		changes <- se
		synctest.Wait()
		qt.Assert(t, ls.linkSeeds(), qt.DeepEquals, []string{"10.0.0.2:7740", "10.0.0.3:7740"})
		changes <- se
		synctest.Wait()
		var changed []any
		for _, en := range logs.FilterMessage("settings-reloaded").All() {
			changed = append(changed, en.ContextMap()["SeedsChanged"])
		}
		qt.Assert(t, changed, qt.DeepEquals, []any{true, false})
	})
}
