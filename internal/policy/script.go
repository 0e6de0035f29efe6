package policy

import (
	"errors"
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps bounds what a script or a hook may compute, in Starlark's execution steps, so that it can't hang
// the service.
const maxSteps = 1_000_000

// runScript executes a script with predeclared values and returns its globals.
func runScript(name, text string, predeclared starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(options, thread, name, text, predeclared)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", located(err))
	}
	return globals, nil
}

// located adds the line at which a script failed to its error.
func located(err error) error {
	var failed *starlark.EvalError
	if !errors.As(err, &failed) {
		return err // syntax errors name it themselves
	}
	for i := range len(failed.CallStack) {
		if at := failed.CallStack.At(i).Pos; at.Line > 0 {
			return fmt.Errorf("%s: %w", at, err)
		}
	}
	return err
}
