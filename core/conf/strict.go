package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// DecodeStrict decodes a single JSON value into out. Unknown fields, values of the
// wrong type and trailing data are errors. The error names the line, the field and the
// value as far as they are known.
func DecodeStrict(data []byte, out any) (err error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err = dec.Decode(out)
	if err != nil {
		return describeJSONError(data, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value: want exactly one")
	}
	return nil
}

// describeJSONError converts an error of encoding/json into one that names the field,
// the value and the line, as far as they are known.
func describeJSONError(data []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errors.Newf("line %d: field %q: got %s, want %s", lineAt(data, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return errors.Newf("line %d: not JSON: %s", lineAt(data, syntaxErr.Offset), syntaxErr.Error())
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return errors.Newf("field %s is unknown", name)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("not JSON: unexpected end of input")
	}
	return err
}

// lineAt returns the line, counted from one, of a byte offset.
func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// Problem is an error in one field of a document.
type Problem struct {
	// Field is the path of the field, such as "services[2].groups[0].keys".
	Field string `json:"field"`
	// Value is the invalid value, quoted if it is a string.
	Value string `json:"value"`
	// Want describes the values that are allowed.
	Want string `json:"want"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: got %s, want %s", p.Field, p.Value, p.Want)
}

// Problems is an error that lists all problems of a document.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (ps *Problems) Add(field string, value any, want string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	*ps = append(*ps, Problem{Field: field, Value: text, Want: want})
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
