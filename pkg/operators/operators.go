// Package operators implements the operators' listener of a node, an HTTP server that
// authenticates requests by token. It serves the settings of teams, the status of
// nodes and targets, and drains.
package operators

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/entry"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/teams"
)

// Headers of requests to the operators' listener and of its responses.
const (
	// HeaderWriteID makes a repeated change idempotent.
	HeaderWriteID = "Almondturn-Write-Id"
	// HeaderAuthor names the person who makes a change, for the history.
	HeaderAuthor = "Almondturn-Author"
	// HeaderSource is a response header that says where the settings come from:
	// accepted (the key-value service) or in-force (this node, while the key-value
	// service is unavailable).
	HeaderSource = "Almondturn-Source"
)

// Options are the settings of the operators' listener.
type Options struct {
	// RootTokenSHA256 is the digest, in hex, of the token that has access to all
	// teams and targets; if empty, there is no such token.
	RootTokenSHA256 string `yaml:"root_token_sha256" validate:"omitempty,len=64,hexadecimal"`
	// MaxBodyBytes is the maximum size of a request with the settings of one team.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// OperationTimeout limits the time of each operation on the key-value service, such
	// as reading settings or committing a change, and of a query of the nodes' status.
	OperationTimeout time.Duration `yaml:"apply_timeout" validate:"min=100ms"`
	// MaxWait limits the time for which a request may wait until its change is in
	// force on all nodes.
	MaxWait time.Duration `yaml:"max_wait" validate:"min=0"`
}

// DefaultOptions returns the options of a node whose settings file sets none.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 16 << 20, OperationTimeout: 10 * time.Second, MaxWait: time.Minute}
}

// Node is the part of an entry node that the operators' listener needs.
type Node interface {
	// Self returns the node itself.
	Self() fleet.Node
	// Table returns the configuration in force, nil for none.
	Table() *route.Table
	// Targets returns the listed targets, nil before the list is loaded.
	Targets() *inventory.TargetSet
	// Status queries the owners of all availability zones for the status of their
	// nodes. A zone whose owner wasn't reached has an empty Owner.
	Status(ctx context.Context) []entry.ZoneStatus
}

// Server is the HTTP handler of the operators' listener.
type Server struct {
	opts       Options
	node       Node
	repository *teams.Repository
	log        *zerolog.Logger
	router     *gin.Engine
}

// New returns a server that reads and changes the settings in r, and reports the
// status that n sees.
func New(opts Options, n Node, r *teams.Repository, log *zerolog.Logger) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{opts: opts, node: n, repository: r, log: log, router: gin.New()}
	s.router.HandleMethodNotAllowed = true
	s.router.Use(s.assignRequestID, gin.CustomRecoveryWithWriter(nil, s.handlePanic))
	s.router.NoRoute(s.handle(noRoute))
	s.router.NoMethod(s.handle(noRoute))
	v1 := s.router.Group("/admin/v1")
	v1.GET("/teams", s.handle(s.listTeams))
	v1.GET("/teams/:team", s.handle(s.getTeam))
	v1.PUT("/teams/:team", s.handle(s.putTeam))
	v1.GET("/teams/:team/history", s.handle(s.getHistory))
	v1.POST("/teams/:team/diff", s.handle(s.diffTeam))
	v1.GET("/status", s.handle(s.getStatus))
	v1.GET("/targets", s.handle(s.listTargets))
	v1.POST("/targets/:target/drain", s.handle(s.drainTarget))
	v1.POST("/targets/:target/undrain", s.handle(s.undrainTarget))
	return s
}

// snapshot returns the settings in force on this node, emptySnapshot for none.
func (s *Server) snapshot() *teams.Snapshot {
	if t := s.node.Table(); t != nil {
		if snap := teams.SnapshotOf(t); snap != nil {
			return snap
		}
	}
	return emptySnapshot
}

// emptySnapshot is in force until the node has received the first settings.
var emptySnapshot = teams.NewSnapshot(nil, nil)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// contextRequestID is the key of the request identifier in a gin.Context.
const contextRequestID = "request_id"

// assignRequestID gives the request an identifier, which the response header and
// log lines carry.
func (s *Server) assignRequestID(c *gin.Context) {
	id := uuid.NewString()
	c.Set(contextRequestID, id)
	c.Header(fault.HeaderRequestID, id)
	c.Next()
}

// handlePanic responds to a request whose handler panicked with an internal error.
func (s *Server) handlePanic(c *gin.Context, cause any) {
	s.writeError(c, fmt.Errorf("handler panicked: %v", cause))
	c.Abort()
}

// handle returns a gin handler that calls h, writes the error that h returns as
// the response, and counts the request by route and error code. If h returns nil,
// it has written the response. A request whose h panics is not counted.
func (s *Server) handle(h func(*gin.Context) error) gin.HandlerFunc {
	return func(c *gin.Context) {
		code := "ok"
		if err := h(c); err != nil {
			code = fault.KindOf(err).String()
			s.writeError(c, err)
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`almondturn_admin_requests_total{route=%q,code=%q}`, c.FullPath(), code)).Inc()
	}
}

// writeError writes the error response for err, and logs an internal error.
func (s *Server) writeError(c *gin.Context, err error) {
	id := c.GetString(contextRequestID)
	if fault.KindOf(err) == fault.Internal {
		event.OperatorFailed.Log(s.log).Str("request", id).Err(err).Send()
	}
	fault.WriteHTTP(c.Writer, id, err)
}

// noRoute is the handler of unknown paths and methods.
func noRoute(c *gin.Context) error {
	return fault.New(fault.UnknownPath, "%s %s does not exist", c.Request.Method, c.Request.URL.Path)
}
