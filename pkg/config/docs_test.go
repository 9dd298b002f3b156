package config

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// docPath is the page that lists all settings.
const docPath = "../../docs/settings.md"

// TestSettingsPageListsEverySetting compares docs/settings.md with the types of the
// settings. With ALMONDTURN_UPDATE=1 in the environment it rewrites the page first.
func TestSettingsPageListsEverySetting(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings of a node\n\nOne YAML file per node; `almondturn check-config FILE` checks it. Unknown fields are refused.\nRegenerate with `ALMONDTURN_UPDATE=1 go test ./pkg/config`.\n\n| option | default | rule | meaning |\n|---|---|---|---|\n")
	p := settingsPage{t: t, out: &b, docs: map[string]map[string]string{}}
	p.writeSettings("", reflect.ValueOf(Default()))
	if os.Getenv("ALMONDTURN_UPDATE") == "1" {
		require.NoError(t, os.WriteFile(docPath, []byte(b.String()), 0o600))
	}
	got, err := os.ReadFile(docPath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(got))
}

// settingsPage writes one table row per setting, with the doc comment of its field.
type settingsPage struct {
	t    *testing.T
	out  *strings.Builder
	docs map[string]map[string]string // by package path, then Type.Field
}

// writeSettings writes the rows of the fields of the struct v. prefix is the path of
// the struct in YAML, with a final dot.
func (p *settingsPage) writeSettings(prefix string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := yamlName(f)
		if name == "-" || !f.IsExported() {
			continue
		}
		require.NotEmpty(p.t, name, "%s.%s has no yaml name", v.Type(), f.Name)
		value := v.Field(i)
		if value.Kind() == reflect.Struct {
			p.writeSettings(prefix+name+".", value)
			continue
		}
		doc := p.fieldDoc(v.Type(), f.Name)
		require.NotEmpty(p.t, doc, "%s.%s has no doc comment", v.Type(), f.Name)
		fmt.Fprintf(p.out, "| `%s%s` | %s | %s | %s |\n", prefix, name, defaultText(value), strings.ReplaceAll(f.Tag.Get("validate"), "|", "or"), doc)
	}
}

// defaultText returns a default as shown in the page, "" for a zero value.
func defaultText(v reflect.Value) string {
	if v.IsZero() || (v.Kind() == reflect.Slice && v.Len() == 0) {
		return ""
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return "`" + d.String() + "`"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

// fieldDoc returns the doc comment of a field as one line, or "".
func (p *settingsPage) fieldDoc(typ reflect.Type, field string) string {
	pkg := typ.PkgPath()
	if p.docs[pkg] == nil {
		p.docs[pkg] = parseFieldDocs(p.t, filepath.Join("../..", strings.TrimPrefix(pkg, "almondturn")))
	}
	return p.docs[pkg][typ.Name()+"."+field]
}

// parseFieldDocs returns the doc comments of the struct fields in the Go files of a
// directory, as one line each, by Type.Field. A field without a comment has that of
// the field before it.
func parseFieldDocs(t *testing.T, dir string) map[string]string {
	t.Helper()
	docs := map[string]string{}
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			st, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			var doc string
			for _, f := range st.Fields.List {
				if f.Doc != nil {
					doc = strings.Join(strings.Fields(f.Doc.Text()), " ")
				}
				for _, id := range f.Names {
					docs[spec.Name.Name+"."+id.Name] = doc
				}
			}
			return true
		})
	}
	return docs
}
