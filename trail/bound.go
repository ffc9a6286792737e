package trail

import (
	"fmt"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxFieldBytes bounds the text of one field. Callers, backend servers and operators choose many
// of the texts: without a bound, one of them could fill the queue, whose further lines are
// dropped.
const maxFieldBytes = 1 << 10

// boundFields returns the fields with texts of at most maxFieldBytes.
func boundFields(fs []zapcore.Field) []zapcore.Field {
	for ix, fi := range fs {
		if _, long := boundField(fi); !long {
			continue
		}
		bounded := append([]zapcore.Field{}, fs[:ix]...)
		for _, fi := range fs[ix:] {
			fi, _ = boundField(fi)
			bounded = append(bounded, fi)
		}
		return bounded
	}
	return fs
}

// boundField returns the field with its text bounded, and whether that was necessary.
func boundField(fi zapcore.Field) (zapcore.Field, bool) {
	text := ""
	switch fi.Type {
	case zapcore.StringType:
		text = fi.String
	case zapcore.ErrorType:
		if err, ok := fi.Interface.(error); ok && err != nil {
			text = err.Error()
		}
	}
	if len(text) <= maxFieldBytes {
		return fi, false
	}
	return zap.String(fi.Key, shorten(text)), true
}

// shorten returns the beginning of a text and its length.
func shorten(text string) string {
	end := maxFieldBytes
	for end > 0 && !utf8.RuneStart(text[end]) && maxFieldBytes-end < utf8.UTFMax {
		end--
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:end], len(text))
}
