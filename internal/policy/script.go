package policy

import (
	"errors"
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps is the maximum number of Starlark execution steps in a script, so that an endless loop can't keep the
// service from starting. Calls of hooks have a lower maximum, maxHookSteps.
const maxSteps = 1_000_000

// runScript executes a script with predeclared values and returns its globals. Errors name the script and the line.
func runScript(name, text string, predeclared starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(options, thread, name, text, predeclared)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", withPosition(err))
	}
	return globals, nil
}

// withPosition prefixes an error with the position at which the script failed.
func withPosition(err error) error {
	var failed *starlark.EvalError
	if !errors.As(err, &failed) {
		return err // syntax errors already have the position
	}
	for i := range len(failed.CallStack) {
		if at := failed.CallStack.At(i).Pos; at.Line > 0 {
			return fmt.Errorf("%s: %w", at, err)
		}
	}
	return err
}
