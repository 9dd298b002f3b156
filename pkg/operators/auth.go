package operators

import (
	"crypto/subtle"
	"strings"

	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/teams"
)

const bearerPrefix = "Bearer "

// operator is who the bearer token of a request stands for.
type operator struct {
	root bool
	// teams are the teams whose subtree names the token.
	teams []fleet.Team
}

func (o operator) mayAccess(team fleet.Team) bool {
	if o.root {
		return true
	}
	for _, t := range o.teams {
		if t == team {
			return true
		}
	}
	return false
}

// scope names the operator in the history.
func (o operator) scope() string {
	if o.root {
		return "root"
	}
	return "team " + string(o.teams[0])
}

// authenticate returns the operator, or an error of kind Unauthenticated.
func (s *Server) authenticate(c *gin.Context) (operator, error) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return operator{}, fault.New(fault.Unauthenticated, "the header Authorization is missing; want Bearer and a token")
	}
	digest := teams.HashKey(token)
	op := operator{root: s.opts.RootTokenSHA256 != "" && equalDigests(digest, s.opts.RootTokenSHA256)}
	snap := s.snapshot()
	for _, name := range snap.TeamNames() {
		spec, _ := snap.Team(name)
		for _, known := range spec.OperatorTokens {
			if equalDigests(digest, known) {
				op.teams = append(op.teams, name)
				break
			}
		}
	}
	if !op.root && len(op.teams) == 0 {
		s.logDenied(c, "unknown token")
		return operator{}, fault.New(fault.Unauthenticated, "the token is not known")
	}
	return op, nil
}

func equalDigests(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(strings.ToLower(b))) == 1
}

// authorize returns the operator if its token may read and change the team of
// the path. Whether another team exists is not told.
func (s *Server) authorize(c *gin.Context) (operator, fleet.Team, error) {
	team := fleet.Team(c.Param("team"))
	op, err := s.authenticate(c)
	if err != nil {
		return op, team, err
	}
	if !op.mayAccess(team) {
		s.logDenied(c, "other team")
		return op, team, fault.New(fault.NotAllowed, "the token may not read or change team %q", team)
	}
	return op, team, nil
}

// authorizeRoot returns an error unless the token is the root token.
func (s *Server) authorizeRoot(c *gin.Context) (operator, error) {
	op, err := s.authenticate(c)
	if err != nil {
		return op, err
	}
	if !op.root {
		s.logDenied(c, "not root")
		return op, fault.New(fault.NotAllowed, "this needs the root token, because it touches all teams")
	}
	return op, nil
}

func (s *Server) logDenied(c *gin.Context, why string) {
	event.OperatorDenied.Log(s.log).Str("path", c.Request.URL.Path).Str("remote", c.ClientIP()).Str("why", why).Send()
}

// maxAuthorBytes bounds the name in the history.
const maxAuthorBytes = 64

// author returns what the history names: the token's scope and the person.
func author(c *gin.Context, op operator) string {
	name := strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return -1
		}
		return r
	}, c.GetHeader(HeaderAuthor))
	if len(name) > maxAuthorBytes {
		name = strings.ToValidUTF8(name[:maxAuthorBytes], "")
	}
	if name == "" {
		return op.scope()
	}
	return op.scope() + ": " + name
}
