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

// longestLine bounds a line that is read back. Longer ones are passed over.
const longestLine = 1 << 20

// otherPrefix begins the name of a field that has the name of one that all lines
// have, such as the instance at the other end of a link.
const otherPrefix = "Other"

// Line is a line that was read back.
type Line struct {
	Instance string
	Time     time.Time // Time is by the instance's own clock.
	Level    string
	Event    string
	Fields   []Field // Fields are all others, in the order of the line.

	at     time.Duration // at is the time that a prefix names.
	marked bool          // marked says that there was such a prefix.
	place  int           // place is its number in what was read.
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Text returns a field's value, a string without its quotes; "" if the line has
// no such field.
func (li *Line) Text(name string) string {
	va := li.Value(name)
	var st string
	if json.Unmarshal(va, &st) == nil {
		return st
	}
	return string(va)
}

// Number returns a field's value as a whole number; 0 if it is none.
func (li *Line) Number(name string) int64 {
	nu, err := strconv.ParseInt(string(li.Value(name)), 10, 64)
	if err != nil {
		return 0
	}
	return nu
}

// Value returns a field's value as JSON; nil if the line has no such field.
func (li *Line) Value(name string) json.RawMessage {
	for _, fi := range li.Fields {
		if fi.Name == name {
			return fi.Value
		}
	}
	return nil
}

// Scan reads lines as this package writes them and gives those to take that pick
// wants, until take returns false. A line may have a prefix of a time in seconds and the instance's name,
// as collectors of logs add it; the time then orders lines of different
// instances, whose own clocks may differ. Scan returns how many lines look like
// those of this package and can't be read, as when a process was killed while it
// wrote.
func Scan(rd io.Reader, pick func(raw []byte) bool, take func(li Line) bool) (unread int, err error) {
	br := bufio.NewReaderSize(rd, 64<<10)
	var raw []byte
	for place := 0; ; place++ {
		raw, err = readLine(br, raw[:0])
		if eventMark.in(raw) && pick(raw) {
			if li, ok := parse(raw); ok {
				li.place = place
				if !take(li) {
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

// mark is what a line of this package has in it.
type mark []byte

var eventMark = mark(`"` + keyEvent + `":`)

func (ma mark) in(raw []byte) bool {
	begin := bytes.IndexByte(raw, '{')
	return begin >= 0 && bytes.Contains(raw[begin:], ma)
}

// whole reports whether a line looks as if it was written to its end.
func whole(raw []byte) bool {
	return bytes.HasSuffix(bytes.TrimSpace(raw), []byte("}")) && bytes.Count(raw, []byte(`{"`+keyLevel+`":`)) <= 1
}

// eventOf returns the event of a line without reading the rest of it.
func eventOf(raw []byte) string {
	_, rest, ok := bytes.Cut(raw, []byte(`"`+keyEvent+`":"`))
	if !ok {
		return ""
	}
	event, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(event)
}

// readLine reads up to the end of a line. Of one that is longer than longestLine
// it keeps the beginning.
func readLine(br *bufio.Reader, into []byte) ([]byte, error) {
	for {
		part, err := br.ReadSlice('\n')
		if len(into) < longestLine {
			into = append(into, part...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return into, err
		}
	}
}

func parse(raw []byte) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	li := Line{}
	prefix := strings.Fields(string(raw[:begin]))
	if len(prefix) >= 2 {
		if se, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			li.at, li.marked = time.Duration(se*float64(time.Second)), true
			li.Instance = prefix[1]
		}
	}
	fs, err := fields(raw[begin:])
	if err != nil {
		return Line{}, false
	}
	for _, fi := range fs {
		li.set(fi)
	}
	return li, li.Event != ""
}

// fields reads the members of an object in their order.
func fields(data []byte) ([]Field, error) {
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
		fs = append(fs, fi)
	}
	_, err := de.Token()
	return fs, err
}

// set takes a member of the line. Of two with one name the first one counts.
func (li *Line) set(fi Field) {
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
		// A second one is not about the line itself, but about what it tells of.
		li.Fields = append(li.Fields, Field{otherPrefix + fi.Name, fi.Value})
	default:
		li.Fields = append(li.Fields, fi)
	}
}

// timeLayout shows times of lines, in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// When returns the time of the line: that of its prefix in seconds, if it has
// one, and else that of the instance's clock.
func (li *Line) FormatTime() string {
	if li.marked {
		return strconv.FormatFloat(li.at.Seconds(), 'f', 3, 64)
	}
	return li.Time.UTC().Format(timeLayout)
}

// MarshalJSON gives the line as an object with its fields beside what all lines
// have.
func (li Line) MarshalJSON() ([]byte, error) {
	fs := []Field{
		{"When", quoted(li.FormatTime())},
		{keyInstance, quoted(li.Instance)},
		{keyLevel, quoted(li.Level)},
		{keyEvent, quoted(li.Event)},
	}
	var bu bytes.Buffer
	bu.WriteByte('{')
	for ix, fi := range append(fs, li.Fields...) {
		if ix > 0 {
			bu.WriteByte(',')
		}
		bu.Write(quoted(fi.Name))
		bu.WriteByte(':')
		bu.Write(fi.Value)
	}
	bu.WriteByte('}')
	return bu.Bytes(), nil
}

func quoted(text string) json.RawMessage {
	data, _ := json.Marshal(text) // A string can always be written.
	return data
}
