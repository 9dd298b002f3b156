package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// yamlName returns a field's name as operators write it.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// rules says what would be right, by validator tag.
var rules = map[string]string{
	"required":         "it must be given",
	"required_without": "it must be given unless %s is",
	"required_with":    "it must be given together with %s",
	"min":              "it must be at least %s",
	"max":              "it must be at most %s",
	"gt":               "it must be above %s",
	"len":              "it must have %s characters",
	"oneof":            "it must be one of: %s",
	"hostname_port":    "it must be host:port",
	"hostname_rfc1123": "it must be letters, digits, dots and hyphens",
	"http_url":         "it must be a URL such as http://10.0.0.1:2380",
	"hexadecimal":      "it must be hexadecimal",
	"unique":           "its entries must differ",
}

// explainYAML turns a decoder's error into one line that names the place.
func explainYAML(err error) error {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		return fmt.Errorf("line %d: %s", ye.GetToken().Position.Line, ye.GetMessage())
	}
	return err
}

// explainFields turns a validator's error into one that names the line and
// the field of each mistake, and what would be right.
func explainFields(text []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	file, parseErr := parser.ParseBytes(text, 0)
	var out []string
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		at := ""
		if parseErr == nil {
			at = position(file, path)
		}
		out = append(out, fmt.Sprintf("%s%s is %q: %s", at, path, fmt.Sprint(f.Value()), rule(f)))
	}
	return errors.New(strings.Join(out, "; "))
}

func rule(f validator.FieldError) string {
	text, ok := rules[f.Tag()]
	if !ok {
		return fmt.Sprintf("it must satisfy %s %s", f.Tag(), f.Param())
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, f.Param())
	}
	return text
}

// position returns "line N: " for the field or its nearest parent in the file.
func position(file *ast.File, path string) string {
	for path != "" {
		p, err := yaml.PathString("$." + path)
		if err == nil {
			if n, err := p.FilterFile(file); err == nil && n != nil {
				return fmt.Sprintf("line %d: ", n.GetToken().Position.Line)
			}
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return ""
}
