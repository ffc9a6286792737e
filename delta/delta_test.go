package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const maxDocumentBytes = 1 << 20

// document returns a document with the given number of entries. The entries whose indexes are
// in changed differ in one number.
func document(entries int, changed ...int) []byte {
	rn := rand.New(rand.NewPCG(1, 2))
	var sb strings.Builder
	for ix := range entries {
		timeout := 600
		for _, ch := range changed {
			if ch == ix {
				timeout = 700
			}
		}
		fmt.Fprintf(&sb, `{"name":"r-%08x","host":"h%d.example","prefix":"/a%08x/","timeout":%d,"service":"s1"},`,
			rn.Uint32(), ix%5, rn.Uint32(), timeout)
	}
	return []byte(sb.String())
}

func TestFrameSize(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		name     string
		base     []byte
		doc      []byte
		maxBytes int
		minBytes int
	}{
		{"nothing held", nil, document(1800), 48_000, 1000},
		{"the same", document(1800), document(1800), 200, 0},
		{"two of 1,800 changed", document(1800), document(1800, 700, 1400), 400, 0},
		{"one of 100 changed", document(100), document(100, 40), 200, 0},
		{"many added", document(100), document(1800), 48_000, 1000},
		{"most gone", document(1800), document(100), 400, 0},
		{"a base too short for a dictionary", []byte("{}"), document(2), 250, 0},
		{"an empty document", document(10), nil, 30, 0},
	} {
		c.Run(tc.name, func(c *qt.C) {
			fr, err := Encode(tc.base, tc.doc)
			c.Assert(err, qt.IsNil)
			c.Check(len(fr.Data) <= tc.maxBytes && len(fr.Data) >= tc.minBytes, qt.IsTrue, qt.Commentf("%d bytes", len(fr.Data)))
			doc, err := Decode(tc.base, fr, maxDocumentBytes)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(doc, tc.doc), qt.IsTrue)
		})
	}
}

// The receiver holds another base than the sender assumes, or the frame was damaged in
// transit. The result must never pass for the document that was sent.
func TestWrongBaseOrFrameIsDetected(t *testing.T) {
	base, doc := document(200), document(200, 100)
	for _, tc := range []struct {
		name   string
		base   []byte
		damage func(fr Frame) Frame
	}{
		{"another base", document(200, 50), nil},
		{"no base", nil, nil},
		{"cut short", base, func(fr Frame) Frame { return Frame{fr.Data[:len(fr.Data)/2], fr.Digest} }},
		{"empty", base, func(fr Frame) Frame { return Frame{nil, fr.Digest} }},
		{"doubled", base, func(fr Frame) Frame { return Frame{append(bytes.Clone(fr.Data), fr.Data...), fr.Digest} }},
		{"no digest", base, func(fr Frame) Frame { return Frame{fr.Data, nil} }},
		{"the digest of another", base, func(fr Frame) Frame { return Frame{fr.Data, bytes.Repeat([]byte{1}, len(fr.Digest))} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			fr, err := Encode(base, doc)
			c.Assert(err, qt.IsNil)
			if tc.damage != nil {
				fr = tc.damage(fr)
			}
			_, err = Decode(tc.base, fr, maxDocumentBytes)
			c.Assert(err, qt.ErrorIs, ErrMismatch)
		})
	}
}

// A frame of a few bytes can decode to a document of any length, which would fill the
// receiver's memory.
func TestDecodeBoundsLength(t *testing.T) {
	c := qt.New(t)
	fr, err := Encode(nil, make([]byte, maxDocumentBytes+1))
	c.Assert(err, qt.IsNil)
	c.Assert(len(fr.Data) < 1000, qt.IsTrue)
	_, err = Decode(nil, fr, maxDocumentBytes)
	c.Assert(err, qt.ErrorIs, ErrMismatch)
}

// Decoding an encoded document returns the original, for any base.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "base")
		doc := append(bytes.Clone(base), rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "more")...)
		from := rapid.IntRange(0, len(doc)).Draw(t, "from")
		fr, err := Encode(base, doc[from:])
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(base, fr, maxDocumentBytes)
		if err != nil || !bytes.Equal(got, doc[from:]) {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// FuzzDecode checks that no input makes Decode fail other than by an error.
func FuzzDecode(f *testing.F) {
	base, doc := document(20), document(20, 3)
	fr, err := Encode(base, doc)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(base, fr.Data, fr.Digest)
	f.Add([]byte(nil), []byte(nil), []byte(nil))
	f.Fuzz(func(t *testing.T, base, data, digest []byte) {
		doc, err := Decode(base, Frame{data, digest}, 1<<16)
		if err == nil && len(doc) > 1<<16 {
			t.Fatalf("got %d bytes", len(doc))
		}
	})
}

// BenchmarkEncode and BenchmarkDecode measure a difference of two entries among 1,800 and a
// whole document.
func BenchmarkEncode(b *testing.B) {
	doc := document(1800, 700, 1400)
	for name, base := range map[string][]byte{"difference": document(1800), "whole": nil} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fr, err := Encode(base, doc)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(fr.Data)), "bytes")
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	doc := document(1800, 700, 1400)
	for name, base := range map[string][]byte{"difference": document(1800), "whole": nil} {
		fr, err := Encode(base, doc)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(base, fr, maxDocumentBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
