package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/membership"
)

// Acknowledger accepts that the key-value service has lost data;
// *membership.Service implements it.
type Acknowledger interface {
	Acknowledge(ctx context.Context) error
}

// SetAcknowledger adds the means to acknowledge a loss of data; call it
// before the server answers.
func (s *Server) SetAcknowledger(a Acknowledger) { s.acknowledger = a }

// AcknowledgeAnswer answers POST /admin/v1/platform/acknowledge.
type AcknowledgeAnswer struct {
	Acknowledged bool `json:"acknowledged"`
}

// acknowledge lets all nodes write again to a key-value service that came
// back older than they know it.
func (s *Server) acknowledge(c *gin.Context) error {
	op, err := s.authorizeRoot(c)
	if err != nil {
		return err
	}
	if s.acknowledger == nil {
		return fault.New(fault.UnknownPath, "this node cannot acknowledge a loss of data")
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.opts.ApplyTimeout)
	defer cancel()
	err = s.acknowledger.Acknowledge(ctx)
	if errors.Is(err, membership.ErrNotOlder) {
		return fault.New(fault.BadRequest, "%w", err)
	}
	if err != nil {
		return fault.New(fault.PlatformUnavailable, "the key-value service does not answer: %w", err)
	}
	event.AdminAcknowledged.Log(&s.log).Str("author", author(c, op)).Send()
	c.JSON(http.StatusOK, AcknowledgeAnswer{Acknowledged: true})
	return nil
}
