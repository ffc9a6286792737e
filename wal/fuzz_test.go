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

// FuzzOpen gives the reader a segment of arbitrary bytes, and one of frames with
// right checksums and arbitrary bodies. It must refuse it as damaged, or recover
// a log that can be written to and recovered again.
func FuzzOpen(f *testing.F) {
	di := filled(f)
	last := segments(di)[len(segments(di))-1]
	f.Add(di.names[last].data, false)
	frs, _ := (&opening{jo: &Journal{fsys: di, dir: folder, lg: zap.NewNop()}}).readSegment(segment{name: filepath.Base(last)}, true)
	for _, fr := range frs.frames {
		f.Add(fr.body, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		di := filled(t)
		fi := di.names[last]
		if framed {
			fr, _ := newFrame(data, 10+uint64(len(segments(di))))
			fi.data = append(fi.data, fr...)
		} else {
			fi.data = data
		}
		jo, re, err := open(di, folder, zap.NewNop(), limit)
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
		_, again, err := open(di, folder, zap.NewNop(), limit)
		if err != nil {
			t.Fatal(err)
		}
		if want, got := fmt.Sprint(append(re.Entries, en)), fmt.Sprint(again.Entries); want != got {
			t.Fatalf("want %s, got %s", want, got)
		}
	})
}
