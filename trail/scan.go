package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds a line that is read back. Longer lines are skipped.
const maxLineBytes = 1 << 20

// otherPrefix is added to the name of a field that repeats the name of a standard field, such
// as the instance at the other end of a link.
const otherPrefix = "Other"

// Line is a parsed log line.
type Line struct {
	Instance string
	Time     time.Time // by the instance's own clock
	Level    string
	Event    string
	Fields   []Field // all other fields in the order of the line

	prefixTime    time.Duration // time in the prefix
	hasPrefixTime bool          // whether the line has such a prefix
	index         int           // position of the line in the input
}

// Field is a field of a line.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Text returns the value of a field, without quotes if it is a string; "" if the line has no
// such field.
func (li *Line) Text(name string) string {
	va := li.Value(name)
	var st string
	if json.Unmarshal(va, &st) == nil {
		return st
	}
	return string(va)
}

// Number returns the value of a field as an integer; 0 if it is not one.
func (li *Line) Number(name string) int64 {
	nu, err := strconv.ParseInt(string(li.Value(name)), 10, 64)
	if err != nil {
		return 0
	}
	return nu
}

// Value returns the value of a field as JSON; nil if the line has no such field.
func (li *Line) Value(name string) json.RawMessage {
	for _, fi := range li.Fields {
		if fi.Name == name {
			return fi.Value
		}
	}
	return nil
}

// Scan parses lines written by this package and passes those that match selects to yield,
// until yield returns false. A line may have a prefix of a time in seconds and the instance's
// name, as collectors of logs add it; this time then orders the lines of different instances,
// whose own clocks may differ. Scan returns the number of lines that look like lines of this
// package but cannot be parsed, for example because the process was killed while writing.
func Scan(rd io.Reader, match func(raw []byte) bool, yield func(li Line) bool) (unread int, err error) {
	br := bufio.NewReaderSize(rd, 64<<10)
	var raw []byte
	for index := 0; ; index++ {
		raw, err = readLine(br, raw[:0])
		if eventPattern.matches(raw) && match(raw) {
			if li, ok := parseLine(raw); ok {
				li.index = index
				if !yield(li) {
					return unread, nil
				}
			} else {
				unread++
			}
		}
		if errors.Is(err, io.EOF) {
			return unread, nil
		}
		if err != nil {
			return unread, err
		}
	}
}

// bytePattern is a text that every line of this package contains.
type bytePattern []byte

var eventPattern = bytePattern(`"` + keyEvent + `":`)

func (bp bytePattern) matches(raw []byte) bool {
	begin := bytes.IndexByte(raw, '{')
	return begin >= 0 && bytes.Contains(raw[begin:], bp)
}

// isComplete reports whether a line appears to have been written to its end.
func isComplete(raw []byte) bool {
	return bytes.HasSuffix(bytes.TrimSpace(raw), []byte("}")) && bytes.Count(raw, []byte(`{"`+keyLevel+`":`)) <= 1
}

// eventName returns the event of a line without parsing the rest.
func eventName(raw []byte) string {
	_, rest, ok := bytes.Cut(raw, []byte(`"`+keyEvent+`":"`))
	if !ok {
		return ""
	}
	event, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(event)
}

// readLine reads up to the end of a line. It keeps only the beginning of a line longer than
// maxLineBytes.
func readLine(br *bufio.Reader, into []byte) ([]byte, error) {
	for {
		part, err := br.ReadSlice('\n')
		if len(into) < maxLineBytes {
			into = append(into, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return into, err
		}
	}
}

func parseLine(raw []byte) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	li := Line{}
	prefix := strings.Fields(string(raw[:begin]))
	if len(prefix) >= 2 {
		if se, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			li.prefixTime, li.hasPrefixTime = time.Duration(se*float64(time.Second)), true
			li.Instance = prefix[1]
		}
	}
	fs, err := decodeFields(raw[begin:])
	if err != nil {
		return Line{}, false
	}
	for _, fi := range fs {
		li.addField(fi)
	}
	return li, li.Event != ""
}

// decodeFields decodes the members of an object in their order.
func decodeFields(data []byte) ([]Field, error) {
	de := json.NewDecoder(bytes.NewReader(data))
	if _, err := de.Token(); err != nil {
		return nil, err
	}
	var fs []Field
	for de.More() {
		name, err := de.Token()
		if err != nil {
			return nil, err
		}
		na, _ := name.(string)
		fi := Field{Name: na}
		if err := de.Decode(&fi.Value); err != nil {
			return nil, err
		}
		fi.Value = visible(fi.Value)
		fs = append(fs, fi)
	}
	_, err := de.Token()
	return fs, err
}

// addField adds a member of the line's object. If a standard field is repeated, the first one
// counts.
func (li *Line) addField(fi Field) {
	var st string
	text := json.Unmarshal(fi.Value, &st) == nil
	switch {
	case fi.Name == keyTime && text && li.Time.IsZero():
		li.Time, _ = time.Parse(time.RFC3339Nano, st)
	case fi.Name == keyLevel && text && li.Level == "":
		li.Level = st
	case fi.Name == keyEvent && text && li.Event == "":
		li.Event = st
	case fi.Name == keyInstance && text && li.Instance == "":
		li.Instance = st
	case fi.Name == keyInstance && text && st == li.Instance:
	case fi.Name == keyTime || fi.Name == keyLevel || fi.Name == keyEvent || fi.Name == keyInstance:
		// A repeated field does not describe the line itself but its subject.
		li.Fields = append(li.Fields, Field{otherPrefix + fi.Name, fi.Value})
	default:
		li.Fields = append(li.Fields, fi)
	}
}

// timeLayout formats the times of lines, in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// FormatTime formats the time of the line: the prefixed time in seconds if there is one,
// otherwise the time by the instance's clock.
func (li *Line) FormatTime() string {
	if li.hasPrefixTime {
		return strconv.FormatFloat(li.prefixTime.Seconds(), 'f', 3, 64)
	}
	return li.Time.UTC().Format(timeLayout)
}

// MarshalJSON encodes the line as an object with its fields after the standard ones.
func (li Line) MarshalJSON() ([]byte, error) {
	fs := []Field{
		{"When", quote(li.FormatTime())},
		{keyInstance, quote(li.Instance)},
		{keyLevel, quote(li.Level)},
		{keyEvent, quote(li.Event)},
	}
	var bu bytes.Buffer
	bu.WriteByte('{')
	for ix, fi := range append(fs, li.Fields...) {
		if ix > 0 {
			bu.WriteByte(',')
		}
		bu.Write(quote(fi.Name))
		bu.WriteByte(':')
		bu.Write(fi.Value)
	}
	bu.WriteByte('}')
	return bu.Bytes(), nil
}

func quote(text string) json.RawMessage {
	data, _ := json.Marshal(text) // Encoding a string never fails.
	return data
}
