package policy

import (
	"errors"
	"fmt"
	"log/slog"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// Names of the hooks, which are functions that a policy script may define.
const (
	// vetoHookName is the hook that gets a planned move and returns True if it must not be made.
	vetoHookName = "veto_move"
	// stageHookName is the hook that gets a job and returns the name of the stage of a zone's return that
	// admits it: "urgent", "services" or "cold".
	stageHookName = "recovery_stage"
)

// hookParameters is the number of parameters that a hook must take.
const hookParameters = 1

// maxHookSteps is the maximum number of Starlark execution steps in one call of a hook. The scheduler waits for
// the hook, so a long computation would delay all scheduling.
const maxHookSteps = 20_000

// readHooks stores the hooks that the script with these globals defines.
func (p *Parameters) readHooks(globals starlark.StringDict) (err error) {
	if p.vetoHook, err = findHook(globals, vetoHookName); err != nil {
		return err
	}
	p.stageHook, err = findHook(globals, stageHookName)
	return err
}

// findHook returns the hook with the given name from a script's globals, or nil if the script does not define it. It
// rejects a global that is no function or takes the wrong number of arguments.
func findHook(globals starlark.StringDict, name string) (*starlark.Function, error) {
	v, ok := globals[name]
	if !ok {
		return nil, nil
	}
	f, ok := v.(*starlark.Function)
	if !ok {
		return nil, fmt.Errorf("policy: %s must be a function", name)
	}
	if f.NumParams() != hookParameters {
		return nil, fmt.Errorf("policy: %s: %s must take %d argument", f.Position(), name, hookParameters)
	}
	globals.Freeze() // other goroutines call the hook, and only frozen values may be shared
	return f, nil
}

// callHook calls a hook with at most maxHookSteps execution steps.
func callHook(f *starlark.Function, argument starlark.Value) (starlark.Value, error) {
	thread := &starlark.Thread{Name: f.Name()}
	thread.SetMaxExecutionSteps(maxHookSteps)
	v, err := starlark.Call(thread, f, starlark.Tuple{argument}, nil)
	if err != nil {
		return nil, withPosition(err)
	}
	return v, nil
}

// Errors for hooks that return an invalid value.
var (
	errNotBool      = errors.New("the answer must be True or False")
	errUnknownStage = errors.New("the answer must be urgent, services or cold")
)

// VetoHook returns a function that asks the script's veto hook whether a move must not be made, or nil if the script
// defines no such hook. When the hook fails, takes too many steps or returns no bool, the function logs the error and
// vetoes the move, since a mistake in the script must not stop the service.
func (p *Parameters) VetoHook(log *slog.Logger) func(rebalance.Record) bool {
	if p.vetoHook == nil {
		return nil
	}
	return func(r rebalance.Record) bool {
		vetoed, err := p.callVetoHook(r)
		if err != nil {
			log.Error("policy hook failed", "hook", vetoHookName, "error", err, "consequence", "move vetoed")
			return true
		}
		return vetoed
	}
}

// callVetoHook calls the veto hook with the fields of a move.
func (p *Parameters) callVetoHook(r rebalance.Record) (vetoed bool, err error) {
	move := starlarkstruct.FromStringDict(starlark.String("move"), starlark.StringDict{
		"team": starlark.String(r.Team), "job": starlark.String(r.Key.Job), "task": starlark.MakeInt(r.Key.N),
		"source": starlark.String(r.From), "destination": starlark.String(r.To), "reason": starlark.String(r.Reason),
		"gain_s": starlark.Float(r.Gain.Seconds()), "cost_s": starlark.Float(r.Cost.Seconds()),
	})
	v, err := callHook(p.vetoHook, move)
	if err != nil {
		return false, err
	}
	answer, ok := v.(starlark.Bool)
	if !ok {
		return false, fmt.Errorf("%s: %w", p.vetoHook.Position(), errNotBool)
	}
	return bool(answer), nil
}

// StageHook returns a function that asks the script's stage hook for the stage that admits a job, or nil if the script
// defines no such hook. When the hook fails, takes too many steps or returns no valid stage, the function logs the error
// and returns the default stage for the job's priority, and for whether it has a deadline.
func (p *Parameters) StageHook(log *slog.Logger) func(*jobs.Job) recovery.Stage {
	if p.stageHook == nil {
		return nil
	}
	return func(j *jobs.Job) recovery.Stage {
		s, err := p.callStageHook(j)
		if err != nil {
			log.Error("policy hook failed", "hook", stageHookName, "job", j.ID, "error", err, "consequence", "default stage used")
			return recovery.DefaultStage(j.PriorityLevel, j.DeadlineS != nil)
		}
		return s
	}
}

// callStageHook calls the stage hook with the fields of a job.
func (p *Parameters) callStageHook(j *jobs.Job) (recovery.Stage, error) {
	job := starlarkstruct.FromStringDict(starlark.String("job"), starlark.StringDict{
		"team": starlark.String(j.Team), "jobclass": starlark.String(j.Class), "rank": starlark.String(j.Priority),
		"deadline": starlark.Bool(j.DeadlineS != nil), "tasks": starlark.MakeInt(j.Tasks),
	})
	v, err := callHook(p.stageHook, job)
	if err != nil {
		return 0, err
	}
	name, _ := starlark.AsString(v)
	s, ok := recovery.StageOf(name)
	if !ok || s < recovery.Urgent || s > recovery.Cold {
		return 0, fmt.Errorf("%s: %w", p.stageHook.Position(), errUnknownStage)
	}
	return s, nil
}
