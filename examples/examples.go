// Package examples holds example settings of teams. They are embedded, so that the
// command `almondturn dev` finds them in any working directory.
package examples

import (
	"embed"
	"fmt"
	"path"
)

// Credentials of `almondturn dev`: the API keys of the services listing and bookings, the
// operator tokens of the teams listings and bookings, and the root token, which may
// change all teams. They are public, thus for local use only.
const (
	DevListingKey    = "dev-listing-key"
	DevBookingsKey   = "dev-bookings-key"
	DevListingsToken = "dev-listings-token"
	DevBookingsToken = "dev-bookings-token"
	DevRootToken     = "dev-root-token"
)

//go:embed dev/*.yaml derwent/*.yaml rodopi/*.yaml
var files embed.FS

// File is the settings file of one team.
type File struct {
	Name string // directory and file name, such as dev/listings.yaml
	Data []byte // YAML
}

// Dev returns the settings files of the teams of `almondturn dev`.
func Dev() ([]File, error) { return Load("dev") }

// Load returns the settings files of one directory: dev, derwent or rodopi. It
// returns an error if the directory doesn't exist.
func Load(dir string) ([]File, error) {
	entries, err := files.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("examples: %w", err)
	}
	loaded := make([]File, 0, len(entries))
	for _, e := range entries {
		name := path.Join(dir, e.Name())
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("examples: %w", err)
		}
		loaded = append(loaded, File{Name: name, Data: data})
	}
	return loaded, nil
}
