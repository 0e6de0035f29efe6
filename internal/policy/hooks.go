package policy

import (
	"errors"
	"fmt"
	"log/slog"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"

	"github.com/merlinlatch/merlinlatch/internal/rebalance"
)

// vetoHook is the function of a script that is asked before a task is moved. It takes the
// move and tells whether it must not be made.
const vetoHook = "veto_move"

// hookSteps bounds what a hook may compute: it is asked while the placer decides.
const hookSteps = 20_000

// hook finds a function of a script, nil where there is none.
func hook(own starlark.StringDict, name string, params int) (*starlark.Function, error) {
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

var errNoAnswer = errors.New("the answer must be True or False")

// Veto gives the script's word on moves, nil where the script has no hook for them. A hook that
// fails or computes for too long counts as a veto and is logged: it never stops the service.
func (k *Knobs) Veto(log *slog.Logger) func(rebalance.Record) bool {
	if k.veto == nil {
		return nil
	}
	return func(r rebalance.Record) bool {
		vetoed, err := k.askVeto(r)
		if err != nil {
			log.Error("the policy script's hook failed; the move is not made", "hook", vetoHook, "err", err)
			return true
		}
		return vetoed
	}
}

func (k *Knobs) askVeto(r rebalance.Record) (vetoed bool, err error) {
	thread := &starlark.Thread{Name: vetoHook}
	thread.SetMaxExecutionSteps(hookSteps)
	move := starlarkstruct.FromStringDict(starlark.String("move"), starlark.StringDict{
		"team": starlark.String(r.Team), "job": starlark.String(r.Key.Job), "task": starlark.MakeInt(r.Key.N),
		"source": starlark.String(r.From), "destination": starlark.String(r.To), "reason": starlark.String(r.Reason),
		"gain_s": starlark.Float(r.Gain.Seconds()), "cost_s": starlark.Float(r.Cost.Seconds()),
	})
	v, err := starlark.Call(thread, k.veto, starlark.Tuple{move}, nil)
	if err != nil {
		return false, located(err)
	}
	answer, ok := v.(starlark.Bool)
	if !ok {
		return false, fmt.Errorf("%s: %w", k.veto.Position(), errNoAnswer)
	}
	return bool(answer), nil
}
