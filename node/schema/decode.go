package schema

import (
	"bytes"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carobmill/carobmill/policy/rule"
)

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 8 << 20

const (
	documentStart = "---"
	documentEnd   = "..."
)

// maxQuotedBytes bounds the text of the file that is quoted in a fault.
const maxQuotedBytes = 64

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,64}$`)

// Paths of faults that do not belong to a single field.
const (
	pathFile   = "file"
	pathSyntax = "syntax"
	pathEnd    = "end of file"
)

// Read reads at most MaxFileBytes+1 bytes of a file, so that Decode can report a
// file that is too large.
func Read(file string) ([]byte, []Fault) {
	f, err := os.Open(file)
	if err != nil {
		return nil, []Fault{{File: file, Path: pathFile, Problem: "cannot be opened: " + err.Error(), Allowed: "a readable YAML file"}}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, []Fault{{File: file, Path: pathFile, Problem: "cannot be read: " + err.Error(), Allowed: "a readable YAML file"}}
	}
	return data, nil
}

// Decode decodes YAML into m. Field names are those of the schema; enum values are
// in lower case without the enum's prefix. When Decode reports faults, m contains
// every field that could be decoded, so that the caller can check those too.
func Decode(file string, data []byte, m proto.Message) []Fault {
	d := &decoder{file: file}
	if len(data) > MaxFileBytes {
		d.add(pathFile, "is larger than 8 MiB", "at most 8 MiB are read")
		return d.faults
	}
	d.checkTruncated(data)
	root := d.parse(data)
	if root != nil {
		d.decodeMessage("", root, m.ProtoReflect())
	}
	return d.faults
}

type decoder struct {
	file   string
	faults []Fault
}

func (d *decoder) add(path, problem, allowed string) {
	d.faults = append(d.faults, Fault{File: d.file, Path: path, Problem: problem, Allowed: allowed})
}

// checkTruncated reports a file whose end is missing. YAML truncated at the end of a
// line is still valid, so that a partly written export would silently take replicas
// out of service. A file that starts with "---" must therefore end with "...", and
// every file must end with a newline.
func (d *decoder) checkTruncated(data []byte) {
	text := strings.TrimRight(string(data), " \t\r\n")
	if text == "" {
		return
	}
	if !bytes.HasSuffix(data, []byte("\n")) {
		d.add(pathEnd, "the last line has no newline: the file was cut off", "a file must end with a newline")
	}
	if startsWithMarker(text) && text[strings.LastIndexByte(text, '\n')+1:] != documentEnd {
		d.add(pathEnd, `the file starts with "---" but does not end with "...": it was cut off`, `a file that starts with "---" must end with the line "..."`)
	}
}

func startsWithMarker(text string) bool {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		return line == documentStart
	}
	return false
}

func (d *decoder) parse(data []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		d.addSyntaxFault(err)
		return nil
	}
	var second yaml.Node
	switch err := dec.Decode(&second); {
	case err == nil:
		d.add(pathFile, "contains a second document", "exactly one YAML document is allowed")
	case !errors.Is(err, io.EOF):
		d.addSyntaxFault(err)
	}
	return doc.Content[0]
}

func (d *decoder) addSyntaxFault(err error) {
	if errors.Is(err, io.EOF) {
		d.add(pathFile, "is empty", "exactly one YAML document is required")
		return
	}
	d.add(pathSyntax, strings.TrimPrefix(err.Error(), "yaml: "), "valid YAML")
}

func (d *decoder) decodeMessage(path string, n *yaml.Node, m protoreflect.Message) {
	if n.Kind != yaml.MappingNode {
		d.addWrongType(pathOrRoot(path), n, "a mapping of fields")
		return
	}
	fields := m.Descriptor().Fields()
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := rule.Join(path, printable(key.Value))
		fd := fields.ByName(protoreflect.Name(key.Value))
		switch {
		case key.Kind != yaml.ScalarNode:
			d.addWrongType(pathOrRoot(path), key, "field names as keys")
		case fd == nil:
			d.add(at, "unknown field", "allowed are "+fieldNames(fields))
		case seen[key.Value]:
			d.add(at, "is given twice", "a field may be given only once")
		default:
			d.decodeField(at, value, m, fd)
		}
		seen[key.Value] = true
	}
}

func (d *decoder) decodeField(path string, n *yaml.Node, m protoreflect.Message, fd protoreflect.FieldDescriptor) {
	switch {
	case fd.IsList():
		d.decodeList(path, n, m.Mutable(fd).List(), fd)
	case fd.Kind() == protoreflect.MessageKind:
		d.decodeMessage(path, n, m.Mutable(fd).Message())
	default:
		if v, ok := d.decodeScalar(path, n, fd); ok {
			m.Set(fd, v)
		}
	}
}

func (d *decoder) decodeList(path string, n *yaml.Node, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	if n.Kind != yaml.SequenceNode {
		d.addWrongType(path, n, "a list")
		return
	}
	for i, item := range n.Content {
		at := rule.Index(path, i)
		if fd.Kind() == protoreflect.MessageKind {
			d.decodeMessage(at, item, list.AppendMutable().Message())
			continue
		}
		if v, ok := d.decodeScalar(at, item, fd); ok {
			list.Append(v)
		}
	}
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	all := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		all = append(all, string(fields.Get(i).Name()))
	}
	return strings.Join(all, ", ")
}

// printable returns a key or value of the file for use in a fault: unchanged if it
// is a short plain word, else quoted and truncated to maxQuotedBytes.
func printable(text string) string {
	if plainKey.MatchString(text) {
		return text
	}
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}

func pathOrRoot(path string) string {
	if path == "" {
		return pathFile
	}
	return path
}
