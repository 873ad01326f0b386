package yaml

import (
	"strconv"
	"strings"

	"buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

// fieldPath converts a path such as routes[3].service to protovalidate's form. The
// result ends before the first field that is not in the schema.
func fieldPath(message protoreflect.MessageDescriptor, path string) *validate.FieldPath {
	out := &validate.FieldPath{}
	for segment := range strings.SplitSeq(path, ".") {
		name, index, indexed := strings.Cut(strings.TrimSuffix(segment, "]"), "[")
		if message == nil {
			break
		}
		field := message.Fields().ByName(protoreflect.Name(name))
		if field == nil {
			break
		}
		element := &validate.FieldPathElement{
			FieldNumber: proto.Int32(int32(field.Number())),
			FieldName:   proto.String(name),
			FieldType:   descriptorpb.FieldDescriptorProto_Type(field.Kind()).Enum(),
		}
		if indexed {
			n, _ := strconv.ParseUint(index, 10, 64)
			element.Subscript = &validate.FieldPathElement_Index{Index: n}
		}
		out.Elements = append(out.Elements, element)
		message = field.Message()
	}
	return out
}
