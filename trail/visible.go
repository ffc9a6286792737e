package trail

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode"
	"unicode/utf8"
)

// visible returns a JSON value in whose strings control characters stand as escape sequences,
// such as \n for a line break. A text that somebody else chose could otherwise start a line of
// its own in a report, or change the terminal that shows it.
func visible(value json.RawMessage) json.RawMessage {
	if !bytes.ContainsRune(value, '\\') && !bytes.ContainsFunc(value, isInvisible) {
		return value
	}
	out := make(json.RawMessage, 0, 2*len(value))
	for ix := 0; ix < len(value); {
		ru, size := utf8.DecodeRune(value[ix:])
		switch {
		case ru == '\\' && ix+1 < len(value):
			size = 2
			if hidden(value[ix:]) {
				out = append(out, '\\')
			}
			out = append(out, value[ix:ix+size]...)
		case isInvisible(ru):
			out = fmt.Appendf(out, `\\u%04x`, ru)
		default:
			out = append(out, value[ix:ix+size]...)
		}
		ix += size
	}
	return out
}

// hidden reports whether an escape sequence stands for a control character.
func hidden(sequence []byte) bool {
	switch sequence[1] {
	case '"', '\\', '/':
		return false
	case 'u':
		const length = len(`\u0000`)
		var st string
		if len(sequence) < length || json.Unmarshal([]byte(`"`+string(sequence[:length])+`"`), &st) != nil {
			return true
		}
		return bytes.ContainsFunc([]byte(st), isInvisible)
	default:
		return true
	}
}

func isInvisible(ru rune) bool { return !unicode.IsGraphic(ru) }
