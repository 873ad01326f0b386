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

// Unmarshal reads text into m. check is called with the message read; faults
// that it returns as platform.Problems get their positions in the text. path
// is for the errors alone.
func Unmarshal[M proto.Message](path string, text []byte, m M, check func(M) error) error {
	options := protoyaml.UnmarshalOptions{Path: path, Validator: checker[M]{check: check}}
	if err := options.Unmarshal(text, m); err != nil {
		return fmt.Errorf("invalid:\n%w", err)
	}
	return nil
}

// Marshal writes m as text.
func Marshal(m proto.Message) ([]byte, error) {
	text, err := protoyaml.MarshalOptions{Indent: 2, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("write YAML: %w", err)
	}
	return text, nil
}

// rule names the faults that a check finds in the errors.
const rule = "check"

type checker[M proto.Message] struct {
	check func(M) error
}

// Validate implements protoyaml.Validator.
func (c checker[M]) Validate(m proto.Message) error {
	err := c.check(m.(M))
	var problems platform.Problems
	if !errors.As(err, &problems) {
		return err
	}
	out := &protovalidate.ValidationError{}
	for _, p := range problems {
		out.Violations = append(out.Violations, &protovalidate.Violation{
			Proto: validate.Violation_builder{
				Field:   fieldPath(m.ProtoReflect().Descriptor(), p.Path()),
				RuleId:  proto.String(rule),
				Message: proto.String(p.Text()),
			}.Build(),
		})
	}
	return out
}
