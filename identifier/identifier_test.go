package identifier

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
)

func TestCheck(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"plain", "i-7f3a91c2", ""},
		{"beyond ASCII", "halle-thünen 2", ""},
		{"longest", strings.Repeat("x", MaxBytes), ""},
		{"empty", "", "ID: want a name, got none"},
		{"too long", strings.Repeat("x", MaxBytes+1), "ID: want at most 256 bytes, got 257"},
		{"not UTF-8", "i-\xff", "ID: want UTF-8"},
		{"cut within a character", "caf\xc3", "ID: want UTF-8"},
		{"line end", "a\r\nb: c", "ID: want no control characters"},
		{"NUL", "a\x00", "ID: want no control characters"},
		{"delete", "a\x7f", "ID: want no control characters"},
		{"next line", "a\u0085b", "ID: want no control characters"},
		{"line separator", "a\u2028b", "ID: want no control characters"},
		{"direction override", "a\u202eb", "ID: want no control characters"},
		{"space at the end", "a ", "ID: want no space at the beginning and the end"},
		{"ideographic space at the beginning", "\u3000a", "ID: want no space at the beginning and the end"},
	} {
		err := Check("ID", tc.text)
		if tc.want == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tc.name))
			continue
		}
		qt.Check(t, err, qt.ErrorMatches, tc.want, qt.Commentf("%s", tc.name))
	}
	qt.Assert(t, CheckOptional("Version", ""), qt.IsNil)
}

// Any text that is accepted must be the value of a header, unchanged, and short.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{"i-1", "\xff", "a\r\nb", " ", "é", "\u2028"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if Check("ID", text) != nil {
			return
		}
		rs, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 204 No Content\r\nA: "+text+"\r\nB: b\r\n\r\n")), nil)
		if err != nil || rs.Header.Get("A") != text || len(rs.Header) != 2 || !utf8.ValidString(text) || len(text) > MaxBytes {
			t.Fatalf("%q is accepted", text)
		}
	})
}
