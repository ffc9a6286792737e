// Package identifier decides which texts from outside the tier are accepted as the name of
// something: a backend server, a service, a data centre, a version. Names are stored, sent
// between instances, logged, and written as the values of headers.
package identifier

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxBytes is the maximum length of a name in bytes.
	MaxBytes = 256
	// MaxPathBytes is the maximum length of a path in bytes.
	MaxPathBytes = 4096
)

// Error says why a text is not accepted as a name. It doesn't contain the text, which may be
// of any length and unprintable.
type Error struct {
	Field  string // what the name is of
	Detail string // what was expected and what was found
}

// Error returns the field and the detail in one line.
func (er *Error) Error() string { return er.Field + ": " + er.Detail }

// Check returns an *Error if a text is not accepted as a name. A name has 1 to MaxBytes bytes
// of UTF-8, no control characters and others without a shape of their own, and no spaces at its
// ends, which receivers of a header remove.
func Check(field, name string) error {
	if name == "" {
		return &Error{Field: field, Detail: "want a name, got none"}
	}
	return CheckOptional(field, name)
}

// CheckOptional returns an *Error if a text is neither empty nor accepted by Check.
func CheckOptional(field, name string) error { return check(field, name, MaxBytes) }

// CheckPath returns an *Error if a text can't be a path or the beginning of one. An empty one is
// accepted.
func CheckPath(field, path string) error { return check(field, path, MaxPathBytes) }

func check(field, name string, maxBytes int) error {
	detail := ""
	switch {
	case len(name) > maxBytes:
		detail = fmt.Sprintf("want at most %d bytes, got %d", maxBytes, len(name))
	case !utf8.ValidString(name):
		detail = "want UTF-8"
	case strings.ContainsFunc(name, isInvisible):
		detail = "want no control characters"
	case strings.TrimSpace(name) != name:
		detail = "want no space at the beginning and the end"
	default:
		return nil
	}
	return &Error{Field: field, Detail: detail}
}

func isInvisible(ru rune) bool { return !unicode.IsGraphic(ru) }
