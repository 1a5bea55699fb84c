package settings

import (
	"errors"
	"fmt"
)

// The causes of a ValueError.
var (
	ErrUnknownValue   = errors.New("unknown value")
	ErrUnexpectedType = errors.New("unexpected JSON type")
	ErrNotPositive    = errors.New("non-positive duration")
	ErrMissingName    = errors.New("missing name")
	ErrDuplicateName  = errors.New("duplicate name")
)

// ValueError reports a value of a settings object that cannot be used.
type ValueError struct {
	Path  string // of the value in the object, such as profiles[0].repeat
	Value any    // the value; its JSON type for ErrUnexpectedType
	Err   error  // one of this package's sentinel errors
}

// Error returns the path, the cause and the value.
func (e *ValueError) Error() string {
	if text, ok := e.Value.(string); ok {
		return fmt.Sprintf("%s: %v %q", e.Path, e.Err, text)
	}
	return fmt.Sprintf("%s: %v %v", e.Path, e.Err, e.Value)
}

// Unwrap returns the cause, for errors.Is.
func (e *ValueError) Unwrap() error { return e.Err }
