package schema

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carobmill/carobmill/policy/rule"
)

const indentSpaces = 2

// Encode returns a message as YAML that Decode accepts, between the document markers
// that let Decode detect a truncated file. Unset fields are omitted.
func Encode(m proto.Message) ([]byte, error) {
	var out bytes.Buffer
	out.WriteString(documentStart + "\n")
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(indentSpaces)
	if err := enc.Encode(encodeMessage(m.ProtoReflect())); err != nil {
		return nil, errors.Wrap(err, "encode YAML")
	}
	if err := enc.Close(); err != nil {
		return nil, errors.Wrap(err, "encode YAML")
	}
	out.WriteString(documentEnd + "\n")
	return out.Bytes(), nil
}

func encodeMessage(m protoreflect.Message) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	fields := m.Descriptor().Fields()
	scalarsOnly := true
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !m.Has(fd) {
			continue
		}
		n.Content = append(n.Content, scalarNode(tagString, string(fd.Name())), encodeField(fd, m.Get(fd)))
		scalarsOnly = scalarsOnly && !fd.IsList() && fd.Kind() != protoreflect.MessageKind
	}
	if scalarsOnly {
		n.Style = yaml.FlowStyle
	}
	return n
}

func encodeField(fd protoreflect.FieldDescriptor, v protoreflect.Value) *yaml.Node {
	if !fd.IsList() {
		return encodeValue(fd, v)
	}
	n := &yaml.Node{Kind: yaml.SequenceNode}
	for i := range v.List().Len() {
		n.Content = append(n.Content, encodeValue(fd, v.List().Get(i)))
	}
	return n
}

func encodeValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) *yaml.Node {
	switch fd.Kind() {
	case protoreflect.MessageKind:
		return encodeMessage(v.Message())
	case protoreflect.EnumKind:
		if value := fd.Enum().Values().ByNumber(v.Enum()); value != nil {
			return scalarNode(tagString, rule.ShortName(value))
		}
		return scalarNode(tagInt, strconv.Itoa(int(v.Enum())))
	case protoreflect.StringKind:
		return scalarNode(tagString, v.String())
	case protoreflect.BoolKind:
		return scalarNode(tagBool, v.String())
	case protoreflect.DoubleKind:
		return scalarNode(tagFloat, strconv.FormatFloat(v.Float(), 'g', -1, 64))
	default:
		return scalarNode(tagInt, v.String())
	}
}

func scalarNode(tag, value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: value}
}
