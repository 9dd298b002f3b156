package teams

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// ParseTeamJSON decodes one team's subtree from JSON and validates it. almondturnctl
// sends JSON, because with 20,000 adapters a node needs about ten times the memory to
// decode YAML. The error is an *InvalidError without lines.
func ParseTeamJSON(data []byte) (*TeamSpec, error) {
	spec := new(TeamSpec)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(spec); err != nil {
		return nil, &InvalidError{Problems: []Problem{jsonProblem(err)}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Problems: []Problem{{Message: "the body goes on after the settings", Want: "one JSON object"}}}
	}
	if problems := Validate(spec); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return spec, nil
}

// jsonProblem converts an error of the JSON decoder to a problem.
func jsonProblem(err error) Problem {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return Problem{Path: mistyped.Field, Message: "value of type " + mistyped.Value, Want: "a value of type " + yamlTypeName(mistyped.Type.Kind().String())}
	}
	return Problem{Message: err.Error(), Want: "the fields that docs/operators/settings.md lists"}
}
