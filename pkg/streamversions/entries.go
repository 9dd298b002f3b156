package streamversions

import (
	"encoding/json"
	"fmt"

	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
)

// Keys of the key-value service: the versions that have served lately, and, for each process
// and some seconds, the streams that began at it.
const (
	// KeyPrefix is the prefix of all keys of this package.
	KeyPrefix  = "almondturn/streams/"
	versionKey = KeyPrefix + "versions"
)

// streamKey returns the key of a process's streams. number is that of the entry.
func streamKey(incarnation string, number int) string {
	return fmt.Sprintf("%sbegun/%s/%d", KeyPrefix, incarnation, number)
}

// encodeStreams returns the value of an entry of streams: their identifiers by service and
// version, as JSON.
func encodeStreams(origins map[string]streams.Origin) []byte {
	value, _ := json.Marshal(streams.ByVersion(origins)) // strings always encode
	return value
}

// encodeVersions returns the value of versionKey: the versions by service, as JSON.
func encodeVersions(versions map[string][]string) []byte {
	value, _ := json.Marshal(versions) // strings always encode
	return value
}

// storedStreams is what the key-value service has about streams.
type storedStreams struct {
	origins  map[string]streams.Origin
	versions map[string][]string
}

// decodeStreams decodes the entries below KeyPrefix. invalid is called for each that
// can't be decoded.
func decodeStreams(entries []kv.Entry, invalid func(key string, err error)) storedStreams {
	out := storedStreams{origins: map[string]streams.Origin{}}
	for _, e := range entries {
		if e.Key == versionKey {
			if err := json.Unmarshal(e.Value, &out.versions); err != nil {
				invalid(e.Key, err)
			}
			continue
		}
		var byService map[string]map[string][]string
		if err := json.Unmarshal(e.Value, &byService); err != nil {
			invalid(e.Key, err)
			continue
		}
		for service, byVersion := range byService {
			for version, ids := range byVersion {
				for _, id := range ids {
					out.origins[id] = streams.Origin{Service: service, Version: version}
				}
			}
		}
	}
	return out
}
