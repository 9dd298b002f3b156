package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
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

// PutAnswer answers an accepted change.
type PutAnswer struct {
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
	WriteID  string     `json:"write_id"`
	// Unchanged is true when the subtree was in this state already.
	Unchanged bool `json:"unchanged"`
	// InForce is true when every live node has the revision in force; it is
	// false, too, when the request did not ask to wait.
	InForce bool `json:"in_force"`
	// WaitedMillis is the time from accepted until that was so, or until the
	// wait ended.
	WaitedMillis float64 `json:"waited_ms"`
	// Lagging are the live nodes that have it not yet.
	Lagging []NodeStatus `json:"lagging,omitempty"`
	// Unreachable are the members that are not live, such as those of a zone
	// that is cut off; they take the revision when they are back.
	Unreachable []NodeStatus `json:"unreachable,omitempty"`
	// Surplus are the places that hold more replicas than now allowed.
	Surplus []Surplus `json:"surplus,omitempty"`
}

// HistoryAnswer answers GET history, newest first.
type HistoryAnswer struct {
	Team      fleet.Team     `json:"team"`
	Revisions []catalog.Past `json:"revisions"`
}

// DiffAnswer answers POST diff.
type DiffAnswer struct {
	Team     fleet.Team           `json:"team"`
	Revision uint64               `json:"revision"`
	Paths    []catalog.Difference `json:"paths"`
}

func (s *Server) listTeams(c *gin.Context) error {
	op, err := s.authenticate(c)
	if err != nil {
		return err
	}
	snap := s.catalog.Snapshot()
	answer := TeamList{Teams: []TeamRevision{}}
	for _, name := range snap.TeamNames() {
		if op.may(name) {
			answer.Teams = append(answer.Teams, TeamRevision{Team: name, Revision: uint64(snap.Revisions[name])})
		}
	}
	c.JSON(http.StatusOK, answer)
	return nil
}

// accepted returns the last accepted subtree, or the one in force while the
// key-value service does not answer or holds an older one.
func (s *Server) accepted(ctx context.Context, team fleet.Team) (*catalog.TeamSpec, uint64, string, error) {
	inForce, _ := s.catalog.Snapshot().Team(team)
	var revision uint64
	if head := s.catalog.Head(team); head != nil {
		revision = head.Revision
	}
	spec, head, err := s.catalog.Repository().Read(ctx, team)
	switch {
	case err == nil && spec != nil && head.Revision >= revision:
		return spec, head.Revision, "accepted", nil
	case inForce != nil:
		return inForce, revision, "in-force", nil
	case err != nil:
		return nil, 0, "", err
	}
	return nil, 0, "", fault.New(fault.UnknownPath, "team %q does not exist", team)
}

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
		spec, err := s.catalog.Repository().ReadRevision(ctx, team, revision)
		if err != nil {
			return err
		}
		return writeTeam(c, spec, revision)
	}
	spec, revision, source, err := s.accepted(ctx, team)
	if err != nil {
		return err
	}
	c.Header(HeaderSource, source)
	return writeTeam(c, spec, revision)
}

func writeTeam(c *gin.Context, spec *catalog.TeamSpec, revision uint64) error {
	c.Header("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
	if strings.Contains(c.GetHeader("Accept"), contentTypeJSON) {
		c.JSON(http.StatusOK, spec)
		return nil
	}
	text, err := catalog.FormatTeam(spec)
	if err != nil {
		return err
	}
	c.Data(http.StatusOK, contentTypeYAML, text)
	return nil
}

// readTeam parses the body as the subtree of the path's team.
func (s *Server) readTeam(c *gin.Context, team fleet.Team) (*catalog.TeamSpec, error) {
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
	spec, err := parseTeam(c, file, body)
	if err != nil {
		var invalid *catalog.InvalidError
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
func parseTeam(c *gin.Context, file string, body []byte) (*catalog.TeamSpec, error) {
	if strings.HasPrefix(c.ContentType(), contentTypeJSON) {
		return catalog.ParseTeamJSON(body)
	}
	return catalog.ParseTeam(file, body)
}

func (s *Server) putTeam(c *gin.Context) error {
	op, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	expect, err := ifMatch(c)
	if err != nil {
		return err
	}
	wait, err := s.wait(c)
	if err != nil {
		return err
	}
	spec, err := s.readTeam(c, team)
	if err != nil {
		return err
	}
	before, _ := s.catalog.Snapshot().Team(team)
	// An operator who goes away does not interrupt the change.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.ApplyTimeout)
	defer cancel()
	done, err := s.catalog.Apply(ctx, catalog.Change{Spec: spec, Expect: expect, Author: author(c, op), WriteID: c.GetHeader(HeaderWriteID)})
	if err != nil {
		event.CatalogRefused.Log(&s.log).Str("team", string(team)).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		return err
	}
	return s.answerAccepted(c, before, done, wait)
}

// answerAccepted waits as asked and tells how far the change has come. before
// is the subtree that was in force, nil for none.
func (s *Server) answerAccepted(c *gin.Context, before *catalog.TeamSpec, done *catalog.Committed, wait time.Duration) error {
	team := done.Head.Team
	event.CatalogAccepted.Log(&s.log).Str("team", string(team)).Uint64("revision", done.Head.Revision).Str("author", done.Head.Author).Send()
	answer := PutAnswer{Team: team, Revision: done.Head.Revision, WriteID: done.Head.WriteID, Unchanged: done.Unchanged}
	if wait > 0 {
		ctx, cancel := context.WithTimeout(c.Request.Context(), wait)
		defer cancel()
		accepted := time.Now()
		lagging := s.catalog.WaitInForce(ctx, team, done.Head.Revision)
		answer.WaitedMillis = float64(time.Since(accepted).Microseconds()) / 1000
		answer.InForce = len(lagging) == 0
		if answer.InForce {
			metrics.GetOrCreateHistogram(fmt.Sprintf(`almondturn_admin_in_force_seconds{team=%q}`, string(team))).UpdateDuration(accepted)
		}
		for _, n := range lagging {
			answer.Lagging = append(answer.Lagging, nodeStatus(n, operator{root: true}))
		}
		answer.Unreachable = s.unreachable(answer.Lagging)
	}
	snap := s.catalog.Snapshot()
	after, _ := snap.Team(team)
	services := map[fleet.Service]bool{}
	serviceNames(services, before)
	serviceNames(services, after)
	answer.Surplus = surplus(services, snap, s.targets.Targets())
	c.Header("ETag", strconv.Quote(strconv.FormatUint(answer.Revision, 10)))
	c.JSON(http.StatusOK, answer)
	return nil
}

// ifMatch reads the revision that a change is based on.
func ifMatch(c *gin.Context) (uint64, error) {
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

func (s *Server) wait(c *gin.Context) (time.Duration, error) {
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

func (s *Server) history(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	head := s.catalog.Head(team)
	stored, err := s.catalog.Repository().Head(ctx, team)
	if err == nil && stored.Revision > 0 && (head == nil || stored.Revision >= head.Revision) {
		head = stored
	}
	if head == nil {
		if err != nil {
			return err
		}
		return fault.New(fault.UnknownPath, "team %q does not exist", team)
	}
	now := catalog.Past{Revision: head.Revision, WriteID: head.WriteID, Author: head.Author, Time: head.Time}
	c.JSON(http.StatusOK, HistoryAnswer{Team: team, Revisions: append([]catalog.Past{now}, head.History...)})
	return nil
}

func (s *Server) diff(c *gin.Context) error {
	_, team, err := s.authorize(c)
	if err != nil {
		return err
	}
	after, err := s.readTeam(c, team)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	before, revision, _, err := s.accepted(ctx, team)
	if err != nil && fault.KindOf(err) != fault.UnknownPath {
		return err
	}
	paths := catalog.Diff(before, after)
	if strings.Contains(c.GetHeader("Accept"), "text/plain") {
		c.String(http.StatusOK, "%s", catalog.FormatDiff(fmt.Sprintf("revision %d", revision), "yours", paths, 0))
		return nil
	}
	c.JSON(http.StatusOK, DiffAnswer{Team: team, Revision: revision, Paths: paths})
	return nil
}

func (s *Server) restore(c *gin.Context) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	team := fleet.Team(c.Param("team"))
	wait, err := s.wait(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request.Context()), s.opts.ApplyTimeout)
	defer cancel()
	done, err := s.catalog.Restore(ctx, team, author(c, op))
	if err != nil {
		return err
	}
	return s.answerAccepted(c, nil, done, wait)
}
