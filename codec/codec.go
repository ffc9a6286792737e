// Package codec is the CBOR encoding of messages between instances and of files.
//
// It decodes text strings that aren't UTF-8, which package cbor encodes but by default
// refuses to decode. One such string would otherwise make a whole message or file unreadable,
// and with it what it says of everything else. Which texts are accepted is decided where they
// are used (package identifier).
package codec

import "github.com/fxamacker/cbor/v2"

// Options returns the decoding options, to which callers may add limits.
func Options() cbor.DecOptions {
	return cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}
}

var decoding = func() cbor.DecMode {
	dm, err := Options().DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}()

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) { return cbor.Marshal(value) }

// Unmarshal decodes data into the value that to points to. The errors are those of package
// cbor.
func Unmarshal(data []byte, to any) error { return decoding.Unmarshal(data, to) }
