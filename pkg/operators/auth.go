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

// bearerPrefix precedes the token in the header Authorization.
const bearerPrefix = "Bearer "

// operator describes what the bearer token of a request gives access to.
type operator struct {
	// root is true for the root token, which gives access to all teams.
	root bool
	// teams are the teams whose subtree lists the token's digest, ordered by name.
	teams []fleet.Team
}

// mayAccess reports whether the operator may read and change a team's subtree.
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

// scope returns what the operator's token gives access to, as text for the history:
// "root", or "team" and the name of the first of its teams.
func (o operator) scope() string {
	if o.root {
		return "root"
	}
	return "team " + string(o.teams[0])
}

// authenticate returns the operator who sent the request, or an error of kind
// Unauthenticated if the token is missing or unknown.
func (s *Server) authenticate(c *gin.Context) (operator, error) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return operator{}, fault.New(fault.Unauthenticated, "the header Authorization is missing; want Bearer and a token")
	}
	digest := teams.DigestKey(token)
	op := operator{root: s.opts.RootTokenSHA256 != "" && equalDigests(digest, s.opts.RootTokenSHA256)}
	snap := s.snapshot()
	for _, name := range snap.TeamNames() {
		spec, _ := snap.Team(name)
		for _, tokenDigest := range spec.OperatorTokens {
			if equalDigests(digest, tokenDigest) {
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

// equalDigests compares two digests in hex, b in any case, in constant time.
func equalDigests(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(strings.ToLower(b))) == 1
}

// authorize returns the operator and the team of the path if the operator's token
// may read and change that team. The error is of kind Unauthenticated or NotAllowed;
// it is the same whether or not the team exists, so that operators of other teams
// cannot detect which teams exist.
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

// authorizeRoot returns the operator if its token is the root token, otherwise an
// error of kind Unauthenticated or NotAllowed.
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

// logDenied logs that a request was denied, and why.
func (s *Server) logDenied(c *gin.Context, why string) {
	event.OperatorDenied.Log(s.log).Str("path", c.Request.URL.Path).Str("remote", c.ClientIP()).Str("why", why).Send()
}

// maxAuthorBytes is the maximum length of a person's name in the history.
const maxAuthorBytes = 64

// author returns the author of a change for the history: the scope of the token
// and, if the request names one, the person. Control characters are removed, and the
// name is cut to maxAuthorBytes.
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
