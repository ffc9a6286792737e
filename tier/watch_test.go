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

// watched is a settings file that is watched, in synctest's time.
type watched struct {
	t     *testing.T
	file  string
	again chan os.Signal
	out   chan Settings
	logs  *observer.ObservedLogs
	end   context.CancelFunc
}

// goodSettings are sound; each seed makes others of them.
func goodSettings(seed string) string {
	return "Name: a\nAddress: 10.0.0.1\nLinkPort: 7740\nListen: {Callers: \"10.0.0.1:80\"}\nSeeds: [\"" + seed + ":80\"]\n"
}

// watch watches a file until the test ends.
func watch(t *testing.T, text string) *watched {
	co, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	wa := &watched{
		t: t, file: filepath.Join(t.TempDir(), "settings.yaml"), again: make(chan os.Signal), out: make(chan Settings, 10),
		logs: logs, end: cancel,
	}
	wa.write(text)
	go Watch(ctx, timer.New(), wa.file, wa.again, wa.out, zap.New(co))
	t.Cleanup(cancel)
	synctest.Wait()
	return wa
}

func (wa *watched) write(text string) {
	wa.t.Helper()
	qt.Assert(wa.t, os.WriteFile(wa.file, []byte(text), 0o600), qt.IsNil)
}

// check fails the test unless settings with these seeds have come since the last
// check, and no others.
func (wa *watched) check(seeds ...string) {
	wa.t.Helper()
	synctest.Wait()
	got := []string{}
	for len(wa.out) > 0 {
		se := <-wa.out
		got = append(got, strings.TrimSuffix(se.Seeds[0], ":80"))
	}
	qt.Assert(wa.t, got, qt.DeepEquals, append([]string{}, seeds...))
}

func (wa *watched) count(line string) int { return wa.logs.FilterMessage(line).Len() }

// The platform writes other seeds into the settings file and tells nobody. The
// instance would go on with control instances that are gone. It looks by itself.
func TestWatchChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wa := watch(t, goodSettings("10.0.0.2"))
		time.Sleep(10 * watchPeriod)
		wa.check()
		wa.write(goodSettings("10.0.0.3"))
		wa.check()
		time.Sleep(watchPeriod)
		wa.check("10.0.0.3")
		time.Sleep(10 * watchPeriod)
		wa.check()
	})
}

// With the signal, what has changed takes effect at once, and what hasn't changed
// isn't sent again.
func TestWatchSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wa := watch(t, goodSettings("10.0.0.2"))
		wa.again <- syscall.SIGHUP
		wa.check()
		wa.write(goodSettings("10.0.0.3"))
		wa.again <- syscall.SIGHUP
		wa.check("10.0.0.3")
		wa.again <- syscall.SIGHUP
		wa.check()
		qt.Assert(t, wa.count("reload-asked"), qt.Equals, 3)
	})
}

// The settings file is read while it is being written, or holds a mistake. The
// instance goes on with the last good settings, says so once, and takes the next
// good ones.
func TestWatchBadFile(t *testing.T) {
	good := goodSettings("10.0.0.3")
	for name, bad := range map[string]string{
		"empty": "", "cut short": good[:len(good)/2], "unknown field": good + "X: 1\n", "no seeds": strings.Replace(good, `["10.0.0.3:80"]`, "[]", 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wa := watch(t, goodSettings("10.0.0.2"))
				wa.write(bad)
				time.Sleep(10 * watchPeriod)
				wa.again <- syscall.SIGHUP
				wa.check()
				qt.Assert(t, wa.count("settings-refused"), qt.Equals, 1)
				wa.write(good)
				time.Sleep(watchPeriod)
				wa.check("10.0.0.3")
				wa.write(bad)
				time.Sleep(watchPeriod)
				wa.check()
				qt.Assert(t, wa.count("settings-refused"), qt.Equals, 2)
			})
		})
	}
}

// The file is gone for a while, as one that is replaced by another may be.
func TestWatchMissingFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wa := watch(t, goodSettings("10.0.0.2"))
		qt.Assert(t, os.Remove(wa.file), qt.IsNil)
		time.Sleep(3 * watchPeriod)
		wa.again <- syscall.SIGHUP
		wa.check()
		wa.write(goodSettings("10.0.0.2"))
		time.Sleep(3 * watchPeriod)
		wa.check()
		qt.Assert(t, os.Remove(wa.file), qt.IsNil)
		time.Sleep(watchPeriod)
		wa.write(goodSettings("10.0.0.4"))
		time.Sleep(watchPeriod)
		wa.check("10.0.0.4")
	})
}

// The instance ends while nobody takes the settings that were read.
func TestWatchEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wa := watch(t, goodSettings("10.0.0.2"))
		for ix := range cap(wa.out) + 1 {
			wa.write(goodSettings(fmt.Sprintf("10.0.1.%d", ix)))
			time.Sleep(watchPeriod)
			synctest.Wait()
		}
		qt.Assert(t, wa.out, qt.HasLen, cap(wa.out))
		wa.end()
	})
}

// Seeds that were read again are those that links are made to from then on.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		co, logs := observer.New(zap.InfoLevel)
		se := Settings{LinkPort: 7740, Seeds: []string{"10.0.0.1:80"}}
		sh := newShared(se)
		changes := make(chan Settings)
		go sh.follow(ctx, changes, zap.New(co))
		qt.Assert(t, sh.linkSeeds(), qt.DeepEquals, []string{"10.0.0.1:7740"})
		se.Seeds = []string{"10.0.0.2:80", "10.0.0.3:80"}
		changes <- se
		synctest.Wait()
		qt.Assert(t, sh.linkSeeds(), qt.DeepEquals, []string{"10.0.0.2:7740", "10.0.0.3:7740"})
		changes <- se
		synctest.Wait()
		var changed []any
		for _, en := range logs.FilterMessage("settings-reloaded").All() {
			changed = append(changed, en.ContextMap()["SeedsChanged"])
		}
		qt.Assert(t, changed, qt.DeepEquals, []any{true, false})
	})
}
