// Package operators is the operators' interface: settings of teams, the state
// of nodes and targets, and drains, over HTTP by token.
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

// Headers of the operators' interface.
const (
	// HeaderWriteID makes a repeated change idempotent.
	HeaderWriteID = "Almondturn-Write-Id"
	// HeaderAuthor names the person who changes something, for the history.
	HeaderAuthor = "Almondturn-Author"
	// HeaderSource tells where an answer comes from: accepted (the key-value
	// service) or in-force (this node, while the service does not answer).
	HeaderSource = "Almondturn-Source"
)

// Options are the settings of the operators' interface.
type Options struct {
	// RootTokenSHA256 is the digest, in hex, of the token that may do
	// everything; empty allows no such token.
	RootTokenSHA256 string `yaml:"root_token_sha256" validate:"omitempty,len=64,hexadecimal"`
	// MaxBodyBytes bounds the settings of one team.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// ApplyTimeout bounds the time until a change is accepted.
	ApplyTimeout time.Duration `yaml:"apply_timeout" validate:"min=100ms"`
	// MaxWait bounds the wait until a change is in force everywhere.
	MaxWait time.Duration `yaml:"max_wait" validate:"min=0"`
}

// DefaultOptions returns the settings that hold where a file names none.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 16 << 20, ApplyTimeout: 10 * time.Second, MaxWait: time.Minute}
}

// Node is what the listener needs of the node behind it.
type Node interface {
	Self() fleet.Node
	// Table returns the configuration in force, nil for none.
	Table() *route.Table
	// Targets returns the targets that are listed, nil for none.
	Targets() *inventory.View
	// Status asks the owners of all zones for their nodes.
	Status(ctx context.Context) []entry.ZoneStatus
}

// Server holds the handlers of the operators' listener.
type Server struct {
	opts       Options
	node       Node
	repository *teams.Repository
	log        *zerolog.Logger
	engine     *gin.Engine
}

// New returns a server for the settings that the repository keeps.
func New(opts Options, n Node, r *teams.Repository, log *zerolog.Logger) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{opts: opts, node: n, repository: r, log: log, engine: gin.New()}
	s.engine.HandleMethodNotAllowed = true
	s.engine.Use(s.assignRequestID, gin.CustomRecoveryWithWriter(nil, s.handlePanic))
	s.engine.NoRoute(s.handle(noRoute))
	s.engine.NoMethod(s.handle(noRoute))
	v1 := s.engine.Group("/admin/v1")
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

// snapshot returns the settings in force on this node.
func (s *Server) snapshot() *teams.Snapshot {
	if t := s.node.Table(); t != nil {
		if snap := teams.SnapshotOf(t); snap != nil {
			return snap
		}
	}
	return emptySnapshot
}

// noTeams is in force until the first settings have come.
var emptySnapshot = teams.NewSnapshot(nil, nil)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.engine.ServeHTTP(w, r) }

const contextRequestID = "request_id"

// identify gives each request an identifier.
func (s *Server) assignRequestID(c *gin.Context) {
	id := uuid.NewString()
	c.Set(contextRequestID, id)
	c.Header(fault.HeaderRequestID, id)
	c.Next()
}

func (s *Server) handlePanic(c *gin.Context, cause any) {
	s.writeError(c, fmt.Errorf("handler panicked: %v", cause))
	c.Abort()
}

// handle answers with the error that a handler returns, by the table of kinds.
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

func (s *Server) writeError(c *gin.Context, err error) {
	id := c.GetString(contextRequestID)
	if fault.KindOf(err) == fault.Internal {
		event.OperatorFailed.Log(s.log).Str("request", id).Err(err).Send()
	}
	fault.WriteHTTP(c.Writer, id, err)
}

func noRoute(c *gin.Context) error {
	return fault.New(fault.UnknownPath, "%s %s does not exist", c.Request.Method, c.Request.URL.Path)
}
