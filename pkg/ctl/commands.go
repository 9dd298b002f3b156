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

// apiRoot is the path prefix of the interface for operators.
const apiRoot = "/admin/v1"

// revisionLatest is the value of --revision that bases a change on the accepted
// revision, whichever it is.
const revisionLatest = "latest"

// revisionLinePrefix begins the first line of a file that the command get printed. The
// number of the revision follows.
const revisionLinePrefix = "# revision: "

// runner runs one subcommand.
type runner struct {
	env    Env
	args   *arguments
	client *client
}

// run runs the subcommand that was given. It returns a usageError for bench, emulate,
// explain or refusals, which get here if Env.Subcommands lacks them.
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
	case a.RoutePlan != nil:
		return r.routePlan(ctx, a.RoutePlan)
	}
	return &usageError{errors.New("this program was built without this subcommand")}
}

// teamPath returns the path of a team's settings.
func teamPath(team string) string { return apiRoot + "/teams/" + url.PathEscape(team) }

// readTeamFile reads and validates a settings file, so that an invalid one is refused
// before anything is sent. Its error is a usageError.
func readTeamFile(path string) ([]byte, *teams.TeamSpec, error) {
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

// apply makes the settings in a file the team's accepted ones, and waits until they
// are in force if --wait is given. The node responds only after that wait, so the
// timeout of a response is longer by --wait-timeout. apply writes the new revision into
// the file if that begins with a revision.
func (r *runner) apply(ctx context.Context, cmd *applyCmd) error {
	text, spec, err := readTeamFile(cmd.File)
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
		query.Set("wait", cmd.WaitTimeout.String())
		r.client.http.Timeout += cmd.WaitTimeout
	}
	resp, err := r.client.sendToAny(ctx, request{
		method: http.MethodPut,
		path:   teamPath(string(spec.Team)) + "?" + query.Encode(),
		body:   body,
		header: map[string]string{"Content-Type": contentTypeJSON, "If-Match": base, operators.HeaderWriteID: cmd.WriteID},
	})
	if err != nil {
		return withRetryHint(err, cmd.WriteID)
	}
	var accepted operators.PutResponse
	if err := json.Unmarshal(resp.body, &accepted); err != nil {
		return fmt.Errorf("response of the node: %w", err)
	}
	updateRevisionLine(cmd.File, text, accepted.Revision)
	return r.reportAccepted(&accepted, resp.body, cmd.Wait)
}

// withRetryHint adds to an error of a change how to find out its outcome, unless the
// node's error says that the request was not run.
func withRetryHint(err error, writeID string) error {
	var respErr *responseError
	if errors.As(err, &respErr) && respErr.body.Run == fault.RunNo {
		return err
	}
	return fmt.Errorf("%w\nthe change may have been accepted; repeat the command with --write-id %s to find out", err, writeID)
}

// baseRevision returns the revision on which the file is based: that of --revision,
// else that of the file's first line, else "0" for a new team.
func (r *runner) baseRevision(ctx context.Context, cmd *applyCmd, team string, text []byte) (string, error) {
	switch {
	case cmd.Revision == revisionLatest:
		return r.latestRevision(ctx, team)
	case cmd.Revision != "":
		if _, err := strconv.ParseUint(cmd.Revision, 10, 64); err != nil {
			return "", &usageError{fmt.Errorf("--revision %q; want a number or latest", cmd.Revision)}
		}
		return cmd.Revision, nil
	}
	if firstLine, _, _ := strings.Cut(string(text), "\n"); strings.HasPrefix(firstLine, revisionLinePrefix) {
		return strings.TrimSpace(strings.TrimPrefix(firstLine, revisionLinePrefix)), nil
	}
	return "0", nil
}

// latestRevision returns the accepted revision of a team, or "0" if the team doesn't
// exist, for which nodes respond with fault.UnknownPath.
func (r *runner) latestRevision(ctx context.Context, team string) (string, error) {
	resp, err := r.client.sendToAny(ctx, request{method: http.MethodGet, path: teamPath(team) + "/history"})
	var respErr *responseError
	if errors.As(err, &respErr) && respErr.body.Code == fault.UnknownPath.String() {
		return "0", nil
	}
	if err != nil {
		return "", err
	}
	var history operators.HistoryResponse
	if err := json.Unmarshal(resp.body, &history); err != nil {
		return "", fmt.Errorf("response of the node: %w", err)
	}
	if len(history.Revisions) == 0 {
		return "", errors.New("response of the node: the history is empty")
	}
	return strconv.FormatUint(history.Revisions[0].Revision, 10), nil
}

// updateRevisionLine writes the new revision into the first line of a file that the
// command get printed, so that the file can be edited and applied again. If that fails,
// the file stays as it was. It does nothing with a file that doesn't begin with a
// revision.
func updateRevisionLine(path string, text []byte, revision uint64) {
	firstLine, settings, _ := strings.Cut(string(text), "\n")
	if !strings.HasPrefix(firstLine, revisionLinePrefix) {
		return
	}
	tmpPath := path + ".new"
	if os.WriteFile(tmpPath, []byte(revisionLinePrefix+strconv.FormatUint(revision, 10)+"\n"+settings), 0o600) != nil {
		return
	}
	if info, err := os.Stat(path); err == nil {
		_ = os.Chmod(tmpPath, info.Mode().Perm())
	}
	_ = os.Rename(tmpPath, filepath.Clean(path))
}

// get prints a team's settings, as YAML with a revision line or, with --output json, as
// JSON. The revision is that of the header ETag. get prints a former revision without
// that line. It warns if the value of operators.HeaderSource is in-force: then the node
// can't read the accepted settings from the key-value service.
func (r *runner) get(ctx context.Context, cmd *getCmd) error {
	path := teamPath(cmd.Team)
	if cmd.Revision > 0 {
		path += "?revision=" + strconv.FormatUint(cmd.Revision, 10)
	}
	req := request{method: http.MethodGet, path: path}
	if r.args.Output == outputJSON {
		req.header = map[string]string{"Accept": contentTypeJSON}
	}
	resp, err := r.client.sendToAny(ctx, req)
	if err != nil {
		return err
	}
	if resp.header.Get(operators.HeaderSource) == "in-force" {
		fmt.Fprintln(r.env.Stderr, "almondturnctl: these are the settings in force on the node; the accepted ones cannot be read now")
	}
	if r.args.Output == outputText && cmd.Revision == 0 {
		fmt.Fprintf(r.env.Stdout, "%s%s\n", revisionLinePrefix, strings.Trim(resp.header.Get("ETag"), `"`))
	}
	_, err = r.env.Stdout.Write(resp.body)
	return err
}

// diff prints the differences between a file and the accepted settings.
func (r *runner) diff(ctx context.Context, cmd *diffCmd) error {
	_, spec, err := readTeamFile(cmd.File)
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
	resp, err := r.client.sendToAny(ctx, req)
	if err != nil {
		return err
	}
	return r.print(resp.body)
}

// setDrain records or removes the drain of a target for all nodes. operation is drain
// or undrain.
func (r *runner) setDrain(ctx context.Context, target, operation string) error {
	resp, err := r.client.sendToAny(ctx, request{method: http.MethodPost, path: apiRoot + "/targets/" + url.PathEscape(target) + "/" + operation})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(resp.body)
	}
	_, err = fmt.Fprintf(r.env.Stdout, "%s %s: told to all nodes\n", operation, target)
	return err
}

// print writes body to standard output, with a final newline.
func (r *runner) print(body []byte) error {
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	_, err := r.env.Stdout.Write(body)
	return err
}
