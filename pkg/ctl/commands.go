package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"almondturn/pkg/fault"
	"almondturn/pkg/operators"
	"almondturn/pkg/teams"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

const contentTypeJSON = "application/json"

const apiRoot = "/admin/v1"

// revisionLatest takes the accepted revision as the base of a change.
const revisionLatest = "latest"

// revisionHeader starts the first line of a file that get printed.
const revisionHeader = "# revision: "

// runner runs one subcommand.
type runner struct {
	env    Env
	args   *args
	client *client
}

func (r *runner) run(ctx context.Context) error {
	switch a := r.args; {
	case a.Apply != nil:
		return r.apply(ctx, a.Apply)
	case a.Get != nil:
		return r.get(ctx, a.Get)
	case a.Diff != nil:
		return r.diff(ctx, a.Diff)
	case a.History != nil:
		return r.history(ctx, a.History.Team)
	case a.Status != nil:
		return r.status(ctx)
	case a.Targets != nil:
		return r.targets(ctx)
	case a.Drain != nil:
		return r.setDrain(ctx, a.Drain.Target, "drain")
	case a.Undrain != nil:
		return r.setDrain(ctx, a.Undrain.Target, "undrain")
	}
	return &usageError{errors.New("this program was built without the subcommand bench")}
}

func teamPath(team string) string { return apiRoot + "/teams/" + url.PathEscape(team) }

// readFile reads and checks a file of settings before anything is sent.
func readFile(path string) ([]byte, *teams.TeamSpec, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	spec, err := teams.ParseTeam(path, text)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	return text, spec, nil
}

func (r *runner) apply(ctx context.Context, cmd *applyCmd) error {
	text, spec, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	base, err := r.baseRevision(ctx, cmd, string(spec.Team), text)
	if err != nil {
		return err
	}
	if cmd.WriteID == "" {
		cmd.WriteID = uuid.NewString()
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return &usageError{err}
	}
	query := url.Values{}
	if cmd.Wait {
		query.Set("wait", cmd.WaitTime.String())
		r.client.http.Timeout += cmd.WaitTime
	}
	answer, err := r.client.do(ctx, request{
		method: http.MethodPut,
		path:   teamPath(string(spec.Team)) + "?" + query.Encode(),
		body:   body,
		header: map[string]string{"Content-Type": contentTypeJSON, "If-Match": base, operators.HeaderWriteID: cmd.WriteID},
	})
	if err != nil {
		return unknownOutcome(err, cmd.WriteID)
	}
	var put operators.PutResponse
	if err := json.Unmarshal(answer.body, &put); err != nil {
		return fmt.Errorf("answer of the node: %w", err)
	}
	updateHeader(cmd.File, text, put.Revision)
	return r.reportPut(&put, answer.body, cmd.Wait)
}

// unknownOutcome adds how to settle a change whose outcome is unknown.
func unknownOutcome(err error, writeID string) error {
	var answered *answerError
	if errors.As(err, &answered) && answered.body.Run == fault.RunNo {
		return err
	}
	return fmt.Errorf("%w\nthe change may have been accepted; repeat the command with --write-id %s to settle it", err, writeID)
}

// baseRevision returns the revision that the file is based on.
func (r *runner) baseRevision(ctx context.Context, cmd *applyCmd, team string, text []byte) (string, error) {
	switch {
	case cmd.Revision == revisionLatest:
		return r.latest(ctx, team)
	case cmd.Revision != "":
		if _, err := strconv.ParseUint(cmd.Revision, 10, 64); err != nil {
			return "", &usageError{fmt.Errorf("--revision %q; want a number or latest", cmd.Revision)}
		}
		return cmd.Revision, nil
	}
	if first, _, _ := strings.Cut(string(text), "\n"); strings.HasPrefix(first, revisionHeader) {
		return strings.TrimSpace(strings.TrimPrefix(first, revisionHeader)), nil
	}
	return "0", nil
}

func (r *runner) latest(ctx context.Context, team string) (string, error) {
	answer, err := r.client.do(ctx, request{method: http.MethodGet, path: teamPath(team) + "/history"})
	var answered *answerError
	if errors.As(err, &answered) && answered.body.Code == fault.UnknownPath.String() {
		return "0", nil
	}
	if err != nil {
		return "", err
	}
	var history operators.HistoryResponse
	if err := json.Unmarshal(answer.body, &history); err != nil {
		return "", fmt.Errorf("answer of the node: %w", err)
	}
	if len(history.Revisions) == 0 {
		return "", errors.New("answer of the node: the history is empty")
	}
	return strconv.FormatUint(history.Revisions[0].Revision, 10), nil
}

// updateHeader notes the new revision in a file that get had printed, so that
// it can be edited and applied again. Failure leaves the file as it was.
func updateHeader(path string, text []byte, revision uint64) {
	first, rest, _ := strings.Cut(string(text), "\n")
	if !strings.HasPrefix(first, revisionHeader) {
		return
	}
	next := path + ".new"
	if os.WriteFile(next, []byte(revisionHeader+strconv.FormatUint(revision, 10)+"\n"+rest), 0o600) != nil {
		return
	}
	if info, err := os.Stat(path); err == nil {
		_ = os.Chmod(next, info.Mode().Perm())
	}
	_ = os.Rename(next, filepath.Clean(path))
}

func (r *runner) get(ctx context.Context, cmd *getCmd) error {
	path := teamPath(cmd.Team)
	if cmd.Revision > 0 {
		path += "?revision=" + strconv.FormatUint(cmd.Revision, 10)
	}
	req := request{method: http.MethodGet, path: path}
	if r.args.Output == outputJSON {
		req.header = map[string]string{"Accept": contentTypeJSON}
	}
	answer, err := r.client.do(ctx, req)
	if err != nil {
		return err
	}
	if answer.header.Get(operators.HeaderSource) == "in-force" {
		fmt.Fprintln(r.env.Stderr, "almondturnctl: these are the settings in force on the node; the accepted ones cannot be read now")
	}
	if r.args.Output == outputText && cmd.Revision == 0 {
		fmt.Fprintf(r.env.Stdout, "%s%s\n", revisionHeader, strings.Trim(answer.header.Get("ETag"), `"`))
	}
	_, err = r.env.Stdout.Write(answer.body)
	return err
}

func (r *runner) diff(ctx context.Context, cmd *diffCmd) error {
	_, spec, err := readFile(cmd.File)
	if err != nil {
		return err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return &usageError{err}
	}
	req := request{
		method: http.MethodPost,
		path:   teamPath(string(spec.Team)) + "/diff",
		body:   body,
		header: map[string]string{"Content-Type": contentTypeJSON},
	}
	if r.args.Output == outputText {
		req.header["Accept"] = "text/plain"
	}
	answer, err := r.client.do(ctx, req)
	if err != nil {
		return err
	}
	return r.print(answer.body)
}

func (r *runner) setDrain(ctx context.Context, target, verb string) error {
	answer, err := r.client.do(ctx, request{method: http.MethodPost, path: apiRoot + "/targets/" + url.PathEscape(target) + "/" + verb})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(answer.body)
	}
	_, err = fmt.Fprintf(r.env.Stdout, "%s %s: told to all nodes\n", verb, target)
	return err
}

func (r *runner) print(body []byte) error {
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	_, err := r.env.Stdout.Write(body)
	return err
}
