package operators

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/teams"
)

// The content types of a team's settings.
const (
	contentTypeYAML = "application/yaml"
	contentTypeJSON = "application/json"
)

// TeamsResponse is the response body of GET /admin/v1/teams: the teams that the
// operator may access, ordered by name.
type TeamsResponse struct {
	Teams []TeamRevision `json:"teams"`
}

// TeamRevision is a team and its revision in force on the node that responds.
type TeamRevision struct {
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
}

// PutResponse is the response body of PUT /admin/v1/teams/:team for an accepted change.
type PutResponse struct {
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
	WriteID  string     `json:"write_id"`
	// InForce is true if every node whose status was received has the revision in
	// force, even if Unreachable is not empty. It is always false if the request did
	// not ask to wait.
	InForce bool `json:"in_force"`
	// WaitedMillis is the time, in milliseconds, from the acceptance of the change
	// until it was in force on all nodes, or until the wait ended.
	WaitedMillis float64 `json:"waited_ms"`
	// Lagging are the nodes that don't have the revision in force yet. Unreachable are
	// the availability zones whose owner was not reached, so that the status of their
	// nodes is unknown; nodes receive the revision from the key-value service.
	Lagging     []NodeStatus `json:"lagging,omitempty"`
	Unreachable []fleet.Zone `json:"unreachable,omitempty"`
}

// HistoryResponse is the response body of GET /admin/v1/teams/:team/history. It lists
// the stored revisions, newest first.
type HistoryResponse struct {
	Team      fleet.Team           `json:"team"`
	Revisions []teams.RevisionInfo `json:"revisions"`
}

// DiffResponse is the response body of POST /admin/v1/teams/:team/diff.
type DiffResponse struct {
	Team fleet.Team `json:"team"`
	// Revision is the one with which the settings in the request were compared; 0 if
	// the team does not exist.
	Revision uint64             `json:"revision"`
	Paths    []teams.Difference `json:"paths"`
}

// listTeams handles GET /admin/v1/teams.
func (s *Server) listTeams(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	snap := s.snapshot()
	resp := TeamsResponse{Teams: []TeamRevision{}}
	for _, name := range snap.TeamNames() {
		if op.mayAccess(name) {
			resp.Teams = append(resp.Teams, TeamRevision{Team: name, Revision: snap.Revisions[name]})
		}
	}
	c.JSON(http.StatusOK, resp)
	return nil
}

// acceptedOrInForce returns a team's subtree, its revision and its source as in
// HeaderSource. These are the accepted ones with sourceAccepted or, while the key-value
// service is unavailable, those in force on this node with sourceInForce. It returns
// the error of the repository if the team does not exist or has no subtree in force.
func (s *Server) acceptedOrInForce(ctx context.Context, team fleet.Team) (*teams.TeamSpec, uint64, string, error) {
	record, err := s.repository.Read(ctx, team)
	if err == nil {
		return record.Spec, record.Revision, sourceAccepted, nil
	}
	snap := s.snapshot()
	spec, ok := snap.Team(team)
	if !ok || fault.KindOf(err) == fault.UnknownPath {
		return nil, 0, "", err
	}
	return spec, snap.Revisions[team], sourceInForce, nil
}

// The values of HeaderSource.
const (
	sourceAccepted = "accepted"
	sourceInForce  = "in-force"
)

// getTeam handles GET /admin/v1/teams/:team. With the query parameter revision it
// returns that revision, otherwise the accepted one.
func (s *Server) getTeam(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.OperationTimeout)
	defer cancel()
	if revisionText := c.Query("revision"); revisionText != "" {
		revision, err := strconv.ParseUint(revisionText, 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "revision %q is not a number", revisionText)
		}
		record, err := s.repository.ReadRevision(ctx, team, revision)
		if err != nil {
			return err
		}
		return writeTeam(c, record.Spec, revision)
	}
	spec, revision, source, err := s.acceptedOrInForce(ctx, team)
	if err != nil {
		return err
	}
	c.Header(HeaderSource, source)
	return writeTeam(c, spec, revision)
}

// writeTeam responds with a subtree, as JSON if the request accepts it, otherwise as
// YAML. The header ETag carries the revision.
func writeTeam(c *gin.Context, spec *teams.TeamSpec, revision uint64) error {
	c.Header("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
	if strings.Contains(c.GetHeader("Accept"), contentTypeJSON) {
		c.JSON(http.StatusOK, spec)
		return nil
	}
	text, err := teams.FormatTeam(spec)
	if err != nil {
		return err
	}
	c.Data(http.StatusOK, contentTypeYAML, text)
	return nil
}

// readTeamBody parses the body as the subtree of the team of the path. Errors are of
// kind BodyTooLarge, BadRequest or InvalidCatalog. Messages about a YAML body, and about
// a body of another team than that of the path, use the file name in the query
// parameter file, TEAM.yaml by default.
func (s *Server) readTeamBody(c *gin.Context, team fleet.Team) (*teams.TeamSpec, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.opts.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, fault.New(fault.BodyTooLarge, "the settings exceed %d bytes", s.opts.MaxBodyBytes)
		}
		return nil, fault.New(fault.BadRequest, "the body cannot be read: %w", err)
	}
	file := c.Query("file")
	if file == "" {
		file = string(team) + ".yaml"
	}
	spec, err := parseTeamBody(c, file, body)
	if err != nil {
		var invalid *teams.InvalidError
		if errors.As(err, &invalid) {
			return nil, invalid.Fault()
		}
		return nil, err
	}
	if spec.Team != team {
		return nil, fault.New(fault.InvalidCatalog, "%s: team: value %q is not valid; want %q, as in the path", file, spec.Team, team)
	}
	return spec, nil
}

// parseTeamBody parses JSON if the request's content type says so, otherwise YAML.
func parseTeamBody(c *gin.Context, file string, body []byte) (*teams.TeamSpec, error) {
	if strings.HasPrefix(c.ContentType(), contentTypeJSON) {
		return teams.ParseTeamJSON(body)
	}
	return teams.ParseTeam(file, body)
}

// putTeam handles PUT /admin/v1/teams/:team. The header If-Match carries the revision
// on which the change is based. With the query parameter wait the response is sent
// once the change is in force on all nodes, or when the duration in wait has passed.
func (s *Server) putTeam(c *gin.Context) error {
	op, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	expect, err := ifMatchRevision(c)
	if err != nil {
		return err
	}
	wait, err := s.waitParam(c)
	if err != nil {
		return err
	}
	spec, err := s.readTeamBody(c, team)
	if err != nil {
		return err
	}
	// An operator who disconnects does not cancel the change.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.OperationTimeout)
	defer cancel()
	record, err := s.repository.Apply(ctx, teams.Change{Spec: spec, Expect: expect, Author: author(c, op), WriteID: c.GetHeader(HeaderWriteID)})
	if err != nil {
		event.SettingsRefused.Log(s.log).Str("team", string(team)).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		return err
	}
	event.SettingsAccepted.Log(s.log).Str("team", string(team)).Uint64("revision", record.Revision).Str("author", record.Author).Send()
	resp := PutResponse{Team: team, Revision: record.Revision, WriteID: record.WriteID}
	if wait > 0 {
		s.awaitInForce(c.Request.Context(), record.ChangeNumber, wait, &resp)
	}
	c.Header("ETag", strconv.Quote(strconv.FormatUint(resp.Revision, 10)))
	c.JSON(http.StatusOK, resp)
	return nil
}

// inForcePollInterval is the time between two queries of what the nodes have in force.
const inForcePollInterval = 50 * time.Millisecond

// awaitInForce waits until all nodes have the change with the given number in force,
// at most for the time wait. It sets InForce and WaitedMillis of resp, and in Lagging
// and Unreachable the nodes that lack the change and the zones not reached.
func (s *Server) awaitInForce(ctx context.Context, change int64, wait time.Duration, resp *PutResponse) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	for {
		resp.Lagging, resp.Unreachable = s.laggingNodes(ctx, change)
		resp.InForce = len(resp.Lagging) == 0
		resp.WaitedMillis = float64(time.Since(start).Microseconds()) / 1000
		if resp.InForce && len(resp.Unreachable) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(inForcePollInterval):
		}
	}
}

// laggingNodes returns the nodes that have a configuration older than the given
// change in force, and the availability zones whose owner was not reached.
func (s *Server) laggingNodes(ctx context.Context, change int64) (nodes []NodeStatus, unreachable []fleet.Zone) {
	for _, z := range s.node.Status(ctx) {
		if z.Owner == "" {
			unreachable = append(unreachable, z.Zone)
		}
		for _, n := range newZoneStatus(z).Nodes {
			if n.Change < change {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes, unreachable
}

// ifMatchRevision returns the revision in the header If-Match, on which a change is
// based. A missing or malformed header is a BadRequest.
func ifMatchRevision(c *gin.Context) (uint64, error) {
	text := strings.Trim(c.GetHeader("If-Match"), `"`)
	if text == "" {
		return 0, fault.New(fault.BadRequest, "the header If-Match is missing; want the revision that you read, 0 for a new team")
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "If-Match %q is not a revision; want a number", text)
	}
	return revision, nil
}

// waitParam returns the query parameter wait, at most MaxWait; 0 if it is missing.
func (s *Server) waitParam(c *gin.Context) (time.Duration, error) {
	text := c.Query("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, fault.New(fault.BadRequest, "wait %q is not a duration; want one such as 5s", text)
	}
	return min(wait, s.opts.MaxWait), nil
}

// getHistory handles GET /admin/v1/teams/:team/history.
func (s *Server) getHistory(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.OperationTimeout)
	defer cancel()
	revisions, err := s.repository.History(ctx, team)
	if err != nil {
		return err
	}
	c.JSON(http.StatusOK, HistoryResponse{Team: team, Revisions: revisions})
	return nil
}

// diffTeam handles POST /admin/v1/teams/:team/diff: it compares the subtree that
// acceptedOrInForce returns with the one in the body, without changing anything.
func (s *Server) diffTeam(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	after, err := s.readTeamBody(c, team)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.OperationTimeout)
	defer cancel()
	before, revision, _, err := s.acceptedOrInForce(ctx, team)
	if err != nil && fault.KindOf(err) != fault.UnknownPath {
		return err
	}
	paths := teams.Diff(before, after)
	if strings.Contains(c.GetHeader("Accept"), "text/plain") {
		c.String(http.StatusOK, "%s", teams.FormatDiff(fmt.Sprintf("revision %d", revision), "yours", paths, 0))
		return nil
	}
	c.JSON(http.StatusOK, DiffResponse{Team: team, Revision: revision, Paths: paths})
	return nil
}
