package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// docPath is the generated page, relative to this package.
const docPath = "../../docs/events.md"

// TestCatalogueMatchesDocs checks that docs/events.md lists the events of the
// catalogue. With ALMONDTURN_UPDATE=1 in the environment it rewrites the page first.
func TestCatalogueMatchesDocs(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Log events\n\nEvery log line at level info or above carries one of these numbers in the field `event`.\nRegenerate with `ALMONDTURN_UPDATE=1 go test ./pkg/event`.\n\n")
	page.WriteString("| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	if os.Getenv("ALMONDTURN_UPDATE") == "1" {
		require.NoError(t, os.WriteFile(docPath, []byte(page.String()), 0o600))
	}
	got, err := os.ReadFile(docPath)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(got))
}
