package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// FuzzOpen opens a folder whose last segment holds arbitrary bytes, or frames with valid
// checksums and arbitrary bodies. Open must report damage, or recover a log that can be
// appended to and recovered again.
func FuzzOpen(f *testing.F) {
	di := newFilledDisk(f)
	last := segments(di)[len(segments(di))-1]
	f.Add(di.visible[last].data, false)
	frs, _ := (&recovery{jo: &Journal{fsys: di, dir: testFolder, lg: zap.NewNop()}}).readSegment(segment{name: filepath.Base(last)}, true)
	for _, fr := range frs.frames {
		f.Add(fr.body, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		di := newFilledDisk(t)
		fi := di.visible[last]
		if framed {
			fr, _ := newFrame(data, 10+uint64(len(segments(di))))
			fi.data = append(fi.data, fr...)
		} else {
			fi.data = data
		}
		jo, re, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
		if err != nil {
			var rs *result.Error
			if !errors.As(err, &rs) || rs.Code != result.DamagedState {
				t.Fatalf("want DamagedState, got %v", err)
			}
			return
		}
		en := entry(1, 9)
		if le := len(re.Entries); le > 0 {
			en = entry(re.Entries[le-1].Index+1, 9)
		}
		if err := jo.Save(quorum.Save{Entries: []quorum.Entry{en}}); err != nil {
			t.Fatal(err)
		}
		_, again, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
		if err != nil {
			t.Fatal(err)
		}
		if want, got := fmt.Sprint(append(re.Entries, en)), fmt.Sprint(again.Entries); want != got {
			t.Fatalf("want %s, got %s", want, got)
		}
	})
}
