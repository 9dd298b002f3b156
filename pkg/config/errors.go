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

// yamlName returns the name of a field in YAML, or "" if its tag has none.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// requirements holds the texts of validator tags. %s stands for the parameter of the
// tag. A tag that isn't listed, such as filepath, gets a general text.
var requirements = map[string]string{
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

// formatYAMLError returns a decoder's error as one line that begins with the line
// number, if the error has a position.
func formatYAMLError(err error) error {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		return fmt.Errorf("line %d: %s", ye.GetToken().Position.Line, ye.GetMessage())
	}
	return err
}

// formatFieldErrors returns a validator's error as one line that holds, for each
// invalid field, the line number in text, the field's path, its value and the
// requirement.
func formatFieldErrors(text []byte, err error) error {
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	file, parseErr := parser.ParseBytes(text, 0)
	var messages []string
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		prefix := ""
		if parseErr == nil {
			prefix = linePrefix(file, path)
		}
		messages = append(messages, fmt.Sprintf("%s%s is %q: %s", prefix, path, fmt.Sprint(f.Value()), requirement(f)))
	}
	return errors.New(strings.Join(messages, "; "))
}

// requirement returns the text of requirements for an invalid field.
func requirement(f validator.FieldError) string {
	text, ok := requirements[f.Tag()]
	if !ok {
		return fmt.Sprintf("it must satisfy %s %s", f.Tag(), f.Param())
	}
	if strings.Contains(text, "%s") {
		return fmt.Sprintf(text, f.Param())
	}
	return text
}

// linePrefix returns "line N: " for the field at path or its nearest parent in the
// file, and "" if there is none.
func linePrefix(file *ast.File, path string) string {
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
