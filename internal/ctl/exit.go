package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/kv"
)

// Exit codes of chivemillctl.
const (
	ExitOK          = 0
	ExitInvalid     = 1
	ExitConflict    = 2
	ExitNotFound    = 3
	ExitRefused     = 4
	ExitUnavailable = 5
	ExitUncertain   = 6
	ExitTimeout     = 7
	ExitProblems    = 8
)

// exitHelp is part of the help text.
const exitHelp = `Exit codes:
  0  done
  1  usage error, or an invalid document or name; nothing was changed
  2  conflict: another change was accepted first; nothing was changed
  3  the profile or binding does not exist, or the logs do not contain the request
  4  refused: the profile is in use or retired; nothing was changed
  5  the store or an entry daemon cannot be reached; nothing was changed
  6  the store's answer was lost and the outcome is unknown; check before you repeat the command
  7  timeout: the change is accepted but not yet in force on every daemon
  8  config check: the daemons accept the configuration, but parts of it have no effect`

// failure is an error with its exit code, a hint for the operator, and details for --output json.
type failure struct {
	code int
	kind string
	err  error
	// hint tells the operator what to do next.
	hint     string
	revision int64
	services []string
	diff     string
	// printed is set if the JSON output already contains the failure.
	printed bool
}

// Error implements error.
func (f *failure) Error() string {
	text := f.err.Error()
	if f.hint != "" {
		text += "\n" + f.hint
	}
	return text
}

// Unwrap returns the wrapped error.
func (f *failure) Unwrap() error { return f.err }

func usagef(format string, args ...any) error {
	return &failure{code: ExitInvalid, kind: "usage", err: fmt.Errorf(format, args...)}
}

// classify converts an error of this package, confstore or kv to a failure with the matching exit code.
func classify(err error) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	var conflict *confstore.ConflictError
	var inUse *confstore.InUseError
	switch {
	case errors.As(err, &conflict):
		return &failure{code: ExitConflict, kind: "conflict", err: conflict, revision: conflict.Current.Revision,
			hint: "Nothing was changed. Read the profile with 'chivemillctl profile get', merge, and apply again."}
	case errors.As(err, &inUse):
		return &failure{code: ExitRefused, kind: "in_use", err: inUse, services: inUse.Services,
			hint: "Nothing was changed. Bind these services to another profile first with 'chivemillctl service bind'."}
	case errors.Is(err, confstore.ErrRetired):
		return &failure{code: ExitRefused, kind: "retired", err: err,
			hint: "Nothing was changed. 'chivemillctl profile apply' brings a retired profile back into use."}
	case errors.Is(err, confstore.ErrNotFound), errors.Is(err, confstore.ErrNotBound):
		return &failure{code: ExitNotFound, kind: "not_found", err: err}
	case errors.Is(err, confstore.ErrContended):
		return &failure{code: ExitConflict, kind: "contended", err: err, hint: "Nothing was changed. Run the command again."}
	case errors.Is(err, kv.ErrOutcomeUnknown):
		return &failure{code: ExitUncertain, kind: "uncertain", err: errors.New("the store's answer was lost: " + oneLine(err)),
			hint: "It is unknown whether the change was accepted. Check with 'profile history' or 'service list' before you repeat it."}
	case errors.Is(err, kv.ErrUnavailable):
		return &failure{code: ExitUnavailable, kind: "unavailable", err: errors.New("the store cannot be reached: " + oneLine(err)),
			hint: "Nothing was changed. Check --store and the state of the store; the daemons keep their last configuration."}
	}
	return &failure{code: ExitInvalid, kind: "invalid", err: err}
}

// oneLine returns the text of a store error on one line, without the sentinel errors that the message already states.
func oneLine(err error) string {
	text := err.Error()
	for _, sentinel := range []error{kv.ErrOutcomeUnknown, kv.ErrUnavailable} {
		text = strings.ReplaceAll(text, sentinel.Error()+"\n", "")
	}
	return strings.ReplaceAll(text, "\n", ": ")
}

func fileError(err error, file string) error {
	return &failure{code: ExitInvalid, kind: "invalid", err: eris.Wrapf(err, "cannot read %s", file)}
}
