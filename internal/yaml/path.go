package yaml

import (
	"strconv"
	"strings"

	"buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

// fieldPath turns a path such as routes[3].service into the schema's own form.
// It ends at the first step that the schema does not have.
func fieldPath(root protoreflect.MessageDescriptor, path string) *validate.FieldPath {
	out := &validate.FieldPath{}
	for step := range strings.SplitSeq(path, ".") {
		name, index, listed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
		if root == nil {
			break
		}
		field := root.Fields().ByName(protoreflect.Name(name))
		if field == nil {
			break
		}
		element := &validate.FieldPathElement{
			FieldNumber: proto.Int32(int32(field.Number())),
			FieldName:   proto.String(name),
			FieldType:   descriptorpb.FieldDescriptorProto_Type(field.Kind()).Enum(),
		}
		if listed {
			n, _ := strconv.ParseUint(index, 10, 64)
			element.Subscript = &validate.FieldPathElement_Index{Index: n}
		}
		out.Elements = append(out.Elements, element)
		root = field.Message()
	}
	return out
}
