package admin

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/examples"
	"almondturn/pkg/membership"
)

func TestAcknowledge(t *testing.T) {
	const path = "/admin/v1/platform/acknowledge"
	f := newFixture(t)
	assert.Equal(t, http.StatusUnauthorized, f.do(http.MethodPost, path, "", "").Code)
	assert.Equal(t, http.StatusOK, f.do(http.MethodPost, path, examples.DevRootToken, "").Code)
	f.members.err = membership.ErrNotOlder
	assert.Equal(t, "bad_request", f.do(http.MethodPost, path, examples.DevRootToken, "").code())
	f.members.err = errors.New("refused")
	assert.Equal(t, "platform_unavailable", f.do(http.MethodPost, path, examples.DevRootToken, "").code())
}
