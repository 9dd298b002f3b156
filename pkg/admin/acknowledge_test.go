package admin

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/examples"
	"almondturn/pkg/membership"
)

type acknowledgerFunc func() error

func (f acknowledgerFunc) Acknowledge(context.Context) error { return f() }

func TestAcknowledge(t *testing.T) {
	const path = "/admin/v1/platform/acknowledge"
	f := newFixture(t)
	assert.Equal(t, http.StatusNotFound, f.do(http.MethodPost, path, examples.DevRootToken, "").Code)
	var result error
	f.server.SetAcknowledger(acknowledgerFunc(func() error { return result }))
	assert.Equal(t, http.StatusUnauthorized, f.do(http.MethodPost, path, "", "").Code)
	assert.Equal(t, http.StatusOK, f.do(http.MethodPost, path, examples.DevRootToken, "").Code)
	result = membership.ErrNotOlder
	assert.Equal(t, "bad_request", f.do(http.MethodPost, path, examples.DevRootToken, "").code())
	result = errors.New("refused")
	assert.Equal(t, "platform_unavailable", f.do(http.MethodPost, path, examples.DevRootToken, "").code())
}
