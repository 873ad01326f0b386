package yaml

import (
	"errors"
	"fmt"

	"buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"buf.build/go/protovalidate"
	"buf.build/go/protoyaml"
	"google.golang.org/protobuf/proto"

	"github.com/lycheehead/lycheehead/pkg/platform"
)

// Unmarshal parses text into m and calls check with the result. Faults that check
// returns as platform.Problems are reported with their positions in the text. path
// is used in error messages only.
func Unmarshal[M proto.Message](path string, text []byte, m M, check func(M) error) error {
	options := protoyaml.UnmarshalOptions{Path: path, Validator: validator[M]{check: check}}
	if err := options.Unmarshal(text, m); err != nil {
		return fmt.Errorf("invalid:\n%w", err)
	}
	return nil
}

// Marshal returns m as YAML.
func Marshal(m proto.Message) ([]byte, error) {
	text, err := protoyaml.MarshalOptions{Indent: 2, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("marshal YAML: %w", err)
	}
	return text, nil
}

// ruleID marks validation errors in error messages.
const ruleID = "check"

// validator calls check and converts platform.Problems to the violations that
// protoyaml locates in the text.
type validator[M proto.Message] struct {
	check func(M) error
}

// Validate implements protoyaml.Validator.
func (v validator[M]) Validate(m proto.Message) error {
	err := v.check(m.(M))
	var problems platform.Problems
	if !errors.As(err, &problems) {
		return err
	}
	invalid := &protovalidate.ValidationError{}
	for _, p := range problems {
		invalid.Violations = append(invalid.Violations, &protovalidate.Violation{
			Proto: validate.Violation_builder{
				Field:   fieldPath(m.ProtoReflect().Descriptor(), p.Path()),
				RuleId:  proto.String(ruleID),
				Message: proto.String(p.Text()),
			}.Build(),
		})
	}
	return invalid
}
