package streamversions

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
)

// Entries of other writers, or of another form, end no read.
func TestStoredStreamsAreDecoded(t *testing.T) {
	origins := map[string]streams.Origin{"r1": {Service: "s", Version: "v1"}, "r2": {Service: "s", Version: ""}, "r3": {Service: "t", Version: "v1"}}
	versions := map[string][]string{"s": {"", "v1"}}
	var invalid []string
	out := decodeStreams([]kv.Entry{
		{Key: streamKey("i", 1), Value: encodeStreams(origins)},
		{Key: versionKey, Value: encodeVersions(versions)},
		{Key: streamKey("i", 2), Value: []byte("{")},
		{Key: streamKey("i", 3), Value: []byte(`{"s":["v1"]}`)},
		{Key: streamKey("i", 4)},
	}, func(key string, _ error) { invalid = append(invalid, key) })
	assert.Equal(t, storedStreams{origins, versions}, out)
	assert.Equal(t, []string{streamKey("i", 2), streamKey("i", 3), streamKey("i", 4)}, invalid)
}
