package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
)

// readTimeout bounds the request for the log of one backend server.
const readTimeout = 10 * time.Second

// Verdict is the result of comparing the outcomes of a run with the executions. The lists hold request ids.
type Verdict struct {
	Calls           int      `json:"calls"`
	Executions      int      `json:"executions"`
	RunTwice        []string `json:"run_twice"`         // calls to non-idempotent routes that were executed more than once
	DoneNotExecuted []string `json:"done_not_executed"` // outcome done without an execution
	NotRunExecuted  []string `json:"not_run_executed"`  // outcome not_run despite an execution
}

// OK reports whether no violation was found.
func (v Verdict) OK() bool {
	return len(v.RunTwice)+len(v.DoneNotExecuted)+len(v.NotRunExecuted) == 0
}

// Write prints the verdict as text, with at most ten ids per list.
func (v Verdict) Write(w io.Writer) {
	fmt.Fprintf(w, "%d calls, %d executions\n", v.Calls, v.Executions)
	for _, line := range []struct {
		name string
		ids  []string
	}{
		{"not idempotent and run twice", v.RunTwice},
		{"answered done but not executed", v.DoneNotExecuted},
		{"answered not_run but executed", v.NotRunExecuted},
	} {
		fmt.Fprintf(w, "%s: %d %v\n", line.name, len(line.ids), line.ids[:min(len(line.ids), 10)])
	}
}

// Verify compares a report with the executions. These must come from all backend servers that may have
// executed its calls.
func Verify(report Report, executions []backend.Execution) Verdict {
	runs := map[string]int{}
	for _, execution := range executions {
		runs[execution.ID]++
	}
	v := Verdict{Calls: len(report.Calls)}
	for _, call := range report.Calls {
		count := runs[call.ID]
		v.Executions += count
		if count > 1 && !call.Idempotent {
			v.RunTwice = append(v.RunTwice, call.ID)
		}
		switch {
		case call.Outcome == OutcomeDone && count == 0:
			v.DoneNotExecuted = append(v.DoneNotExecuted, call.ID)
		case call.Outcome == OutcomeNotRun && count > 0:
			v.NotRunExecuted = append(v.NotRunExecuted, call.ID)
		}
	}
	return v
}

// ReadExecutions returns the executions in the logs of the backend servers at the given addresses. It
// returns an error if one of the logs cannot be read.
func ReadExecutions(ctx context.Context, addresses []string) ([]backend.Execution, error) {
	var all []backend.Execution
	for _, address := range addresses {
		executions, err := readExecutions(ctx, address)
		if err != nil {
			return nil, oops.In("load").With("backend", address).Wrapf(err, "log of backend server %s cannot be read", address)
		}
		all = append(all, executions...)
	}
	return all, nil
}

func readExecutions(ctx context.Context, address string) ([]backend.Execution, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+backend.PathExecutions, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status is %d, expected 200", response.StatusCode)
	}
	var executions []backend.Execution
	err = json.NewDecoder(response.Body).Decode(&executions)
	return executions, err
}
