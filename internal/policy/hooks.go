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

// vetoHookName is the function of a script that is asked before a task is moved. It takes the
// move and tells whether it must not be made.
const vetoHookName = "veto_move"

// stageHookName is the function of a script that names the stage of a zone's return at which a job is
// admitted: urgent, services or cold.
const stageHookName = "recovery_stage"

// maxHookSteps bounds what a hook may compute: it is asked while the placer decides.
const maxHookSteps = 20_000

// findHook finds a function of a script, nil where there is none.
func findHook(own starlark.StringDict, name string, params int) (*starlark.Function, error) {
	v, ok := own[name]
	if !ok {
		return nil, nil
	}
	f, ok := v.(*starlark.Function)
	if !ok {
		return nil, fmt.Errorf("policy: %s must be a function", name)
	}
	if f.NumParams() != params {
		return nil, fmt.Errorf("policy: %s: %s must take %d argument", f.Position(), name, params)
	}
	own.Freeze() // it is called from other goroutines than the one that read the script
	return f, nil
}

// callHook asks a hook, within its bound of steps.
func callHook(f *starlark.Function, argument starlark.Value) (starlark.Value, error) {
	thread := &starlark.Thread{Name: f.Name()}
	thread.SetMaxExecutionSteps(maxHookSteps)
	v, err := starlark.Call(thread, f, starlark.Tuple{argument}, nil)
	if err != nil {
		return nil, located(err)
	}
	return v, nil
}

var errNotBool = errors.New("the answer must be True or False")

// Veto gives the script's word on moves, nil where the script has no hook for them. A hook that
// fails or computes for too long counts as a veto and is logged: it never stops the service.
func (p *Parameters) Veto(log *slog.Logger) func(rebalance.Record) bool {
	if p.vetoHook == nil {
		return nil
	}
	return func(r rebalance.Record) bool {
		vetoed, err := p.callVetoHook(r)
		if err != nil {
			log.Error("the policy script's hook failed; the move is not made", "hook", vetoHookName, "err", err)
			return true
		}
		return vetoed
	}
}

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

// Stages gives the script's word on stages, nil where the script has no hook for them. A hook that
// fails is logged, and the job is admitted by its rank and deadline.
func (p *Parameters) Stages(log *slog.Logger) func(*jobs.Job) recovery.Stage {
	if p.stageHook == nil {
		return nil
	}
	return func(j *jobs.Job) recovery.Stage {
		s, err := p.callStageHook(j)
		if err != nil {
			log.Error("the policy script's hook failed; the job goes by its rank", "hook", stageHookName, "job", j.ID, "err", err)
			return recovery.DefaultStage(j.PriorityLevel, j.DeadlineS != nil)
		}
		return s
	}
}

var errUnknownStage = errors.New("the answer must be urgent, services or cold")

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
