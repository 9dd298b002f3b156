package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against different requests counting as one that comes again, and against one that
// comes again under another identifier counting as a different one.
func TestDigestTellsRequestsApart(t *testing.T) {
	digest := func(id, method, host, uri, body string) string {
		info := RequestInfo{ID: id, Model: "m", Prompt: "sys:10,own:3"}
		return (&job{Request: &Request{RequestInfo: info, Method: method, Host: host, URI: uri}, body: []byte(body)}).digest()
	}
	declared := func(info RequestInfo) string {
		return (&job{Request: &Request{RequestInfo: info, Method: "POST", Host: "h", URI: "/x?y"}, body: []byte("body")}).digest()
	}
	first := digest("r1", "POST", "h", "/x?y", "body")
	assert.Equal(t, first, digest("r2", "POST", "h", "/x?y", "body"))
	for _, other := range []string{
		digest("r1", "PUT", "h", "/x?y", "body"), digest("r1", "POST", "i", "/x?y", "body"), digest("r1", "POST", "h", "/x?z", "body"),
		digest("r1", "POST", "h", "/x?y", "bodz"), declared(RequestInfo{Model: "n", Prompt: "sys:10,own:3"}),
		declared(RequestInfo{Model: "m", Adapter: "a", Prompt: "sys:10,own:3"}), declared(RequestInfo{Model: "m", Prompt: "sys:10,own:4"}),
		digest("r1", "POST", "h/x", "?y", "body"), digest("r1", "POST", "h", "/x?yb", "ody"),
	} {
		assert.NotEqual(t, first, other)
	}
}
