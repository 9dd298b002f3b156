// Package examples holds example settings of teams, embedded so that the
// command `almondturn dev` starts with them.
package examples

import (
	"embed"
	"fmt"
	"path"
)

// The API keys, operator tokens and the deployment-wide root token of
// `almondturn dev`. They protect nothing and are for trials only.
const (
	DevListingKey    = "dev-listing-key"
	DevBookingsKey   = "dev-bookings-key"
	DevListingsToken = "dev-listings-token"
	DevBookingsToken = "dev-bookings-token"
	DevRootToken     = "dev-root-token"
)

//go:embed dev/*.yaml derwent/*.yaml rodopi/*.yaml
var files embed.FS

// File is one team's settings.
type File struct {
	Name string
	Data []byte
}

// Dev returns the settings of `almondturn dev`.
func Dev() ([]File, error) { return Load("dev") }

// Load returns the files of one directory: dev, derwent or rodopi.
func Load(dir string) ([]File, error) {
	entries, err := files.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("examples: %w", err)
	}
	out := make([]File, 0, len(entries))
	for _, e := range entries {
		name := path.Join(dir, e.Name())
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("examples: %w", err)
		}
		out = append(out, File{Name: name, Data: data})
	}
	return out, nil
}
