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

// TeamList answers GET /admin/v1/teams.
type TeamList struct {
	Teams []TeamRevision `json:"teams"`
}

// TeamRevision is a team with the revision in force on the answering node.
type TeamRevision struct {
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
}

// PutResponse is the answer to a change that was accepted.
type PutResponse struct {
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
	WriteID  string     `json:"write_id"`
	// InForce is true when every node that is connected has the revision in
	// force; it is false, too, when the request did not ask to wait.
	InForce bool `json:"in_force"`
	// WaitedMillis is the time from accepted until that was so, or until the
	// wait ended.
	WaitedMillis float64 `json:"waited_ms"`
	// Lagging are the nodes that have it not yet, Unreachable the zones of
	// which no owner was reached; they take the revision when they are back.
	Lagging     []NodeStatus `json:"lagging,omitempty"`
	Unreachable []fleet.Zone `json:"unreachable,omitempty"`
}

// HistoryResponse answers GET history, newest first.
type HistoryResponse struct {
	Team      fleet.Team           `json:"team"`
	Revisions []teams.RevisionInfo `json:"revisions"`
}

// DiffResponse answers POST diff.
type DiffResponse struct {
	Team     fleet.Team         `json:"team"`
	Revision uint64             `json:"revision"`
	Paths    []teams.Difference `json:"paths"`
}

func (s *Server) listTeams(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	snap := s.snapshot()
	answer := TeamList{Teams: []TeamRevision{}}
	for _, name := range snap.TeamNames() {
		if op.mayAccess(name) {
			answer.Teams = append(answer.Teams, TeamRevision{Team: name, Revision: snap.Revisions[name]})
		}
	}
	c.JSON(http.StatusOK, answer)
	return nil
}

// accepted returns the accepted subtree, or the one in force on this node
// while the key-value service does not answer, and which of both it is.
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

func (s *Server) getTeam(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	if asked := c.Query("revision"); asked != "" {
		revision, err := strconv.ParseUint(asked, 10, 64)
		if err != nil {
			return fault.New(fault.BadRequest, "revision %q is not a number", asked)
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

// readTeam parses the body as the subtree of the path's team.
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

// parseTeam reads JSON when the request says so, else YAML.
func parseTeamBody(c *gin.Context, file string, body []byte) (*teams.TeamSpec, error) {
	if strings.HasPrefix(c.ContentType(), contentTypeJSON) {
		return teams.ParseTeamJSON(body)
	}
	return teams.ParseTeam(file, body)
}

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
	// An operator who goes away does not interrupt the change.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.ApplyTimeout)
	defer cancel()
	record, err := s.repository.Apply(ctx, teams.Change{Spec: spec, Expect: expect, Author: author(c, op), WriteID: c.GetHeader(HeaderWriteID)})
	if err != nil {
		event.SettingsRefused.Log(s.log).Str("team", string(team)).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		return err
	}
	event.SettingsAccepted.Log(s.log).Str("team", string(team)).Uint64("revision", record.Revision).Str("author", record.Author).Send()
	answer := PutResponse{Team: team, Revision: record.Revision, WriteID: record.WriteID}
	if wait > 0 {
		s.awaitInForce(c.Request.Context(), record.Change, wait, &answer)
	}
	c.Header("ETag", strconv.Quote(strconv.FormatUint(answer.Revision, 10)))
	c.JSON(http.StatusOK, answer)
	return nil
}

// inForcePoll is the time between two looks at what the nodes have in force.
const inForcePollInterval = 50 * time.Millisecond

// awaitInForce waits until all nodes have a change in force, and notes in the
// answer which have not.
func (s *Server) awaitInForce(ctx context.Context, change int64, wait time.Duration, answer *PutResponse) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	began := time.Now()
	for {
		answer.Lagging, answer.Unreachable = s.laggingNodes(ctx, change)
		answer.InForce = len(answer.Lagging) == 0
		answer.WaitedMillis = float64(time.Since(began).Microseconds()) / 1000
		if answer.InForce && len(answer.Unreachable) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(inForcePollInterval):
		}
	}
}

// lagging returns the nodes that have an older configuration in force, and the
// zones of which nothing is known.
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

// ifMatch reads the revision that a change is based on.
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

func (s *Server) getHistory(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	past, err := s.repository.History(ctx, team)
	if err != nil {
		return err
	}
	c.JSON(http.StatusOK, HistoryResponse{Team: team, Revisions: past})
	return nil
}

func (s *Server) diffTeam(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	after, err := s.readTeamBody(c, team)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
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
