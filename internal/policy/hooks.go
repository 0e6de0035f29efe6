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

// Names of hooks: functions that a script may define.
const (
	// vetoHookName takes a move and returns whether it must not be made.
	vetoHookName = "veto_move"
	// stageHookName takes a job and returns the stage of a zone's return at which it is admitted:
	// urgent, services or cold.
	stageHookName = "recovery_stage"
)

// hookParameters is how many parameters a hook takes.
const hookParameters = 1

// maxHookSteps bounds what a hook may compute, in Starlark's execution steps: it is called while the
// scheduler decides.
const maxHookSteps = 20_000

// readHooks finds the hooks that a script defines.
func (p *Parameters) readHooks(own starlark.StringDict) (err error) {
	if p.vetoHook, err = findHook(own, vetoHookName); err != nil {
		return err
	}
	p.stageHook, err = findHook(own, stageHookName)
	return err
}

// findHook returns a function of a script, nil where there is none.
func findHook(own starlark.StringDict, name string) (*starlark.Function, error) {
	v, ok := own[name]
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
	own.Freeze() // it is called by other goroutines than the one that read the script
	return f, nil
}

// callHook calls a hook, within its bound of steps.
func callHook(f *starlark.Function, argument starlark.Value) (starlark.Value, error) {
	thread := &starlark.Thread{Name: f.Name()}
	thread.SetMaxExecutionSteps(maxHookSteps)
	v, err := starlark.Call(thread, f, starlark.Tuple{argument}, nil)
	if err != nil {
		return nil, located(err)
	}
	return v, nil
}

// Errors of hooks.
var (
	errNotBool      = errors.New("the answer must be True or False")
	errUnknownStage = errors.New("the answer must be urgent, services or cold")
)

// Veto returns the script's hook on moves, nil where the script defines none. A hook that fails or
// computes for too long vetoes the move and is logged: it never stops the service.
func (p *Parameters) Veto(log *slog.Logger) func(rebalance.Record) bool {
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

// callVetoHook calls the hook with the fields of a move.
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

// Stages returns the script's hook on stages, nil where the script defines none. A hook that fails is
// logged, and the job is admitted by its priority and deadline.
func (p *Parameters) Stages(log *slog.Logger) func(*jobs.Job) recovery.Stage {
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

// callStageHook calls the hook with the fields of a job.
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
