package rule

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// ShortName returns the name of an enum value in YAML, such as in_service for
// LIFECYCLE_IN_SERVICE.
func ShortName(value protoreflect.EnumValueDescriptor) string {
	ed, _ := value.Parent().(protoreflect.EnumDescriptor)
	prefix := strings.TrimSuffix(string(ed.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}
