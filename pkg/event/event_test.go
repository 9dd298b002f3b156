package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const docPath = "../../docs/events.md"

// TestCatalogueMatchesDocs compares the catalogue with docs/events.md.
// ALMONDTURN_UPDATE=1 rewrites the page.
func TestCatalogueMatchesDocs(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line at level info or above carries one of these numbers in the field `event`.\nRegenerate with `ALMONDTURN_UPDATE=1 go test ./pkg/event`.\n\n")
	b.WriteString("| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	if os.Getenv("ALMONDTURN_UPDATE") == "1" {
		require.NoError(t, os.WriteFile(docPath, []byte(b.String()), 0o600))
	}
	got, err := os.ReadFile(docPath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got))
}
