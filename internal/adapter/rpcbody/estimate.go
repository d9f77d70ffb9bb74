package rpcbody

import (
	"mime"
	"net/http"
	"path"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// A decoded message takes messageBytes and fieldBytes for each of its fields, the size of the
	// largest one, a slice.
	messageBytes = 64
	fieldBytes   = 24
	// elementBytes is the memory of an element of a list: a pointer or a number, twice because the
	// list grows by copying.
	elementBytes = 16
	// jsonObjectBytes is the memory of a message that was decoded from a JSON object; no message of
	// an API has more than a dozen fields.
	jsonObjectBytes = messageBytes + 12*fieldBytes
	// maxDepth bounds the nesting that is looked at. The messages of the APIs have less.
	maxDepth = 16
)

// decodedBytes estimates the memory of the message that a body decodes to, from above.
func decodedBytes(r *http.Request, data []byte) int64 {
	contentType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if strings.HasSuffix(contentType, "json") {
		return jsonBytes(data)
	}
	if isGRPC(r) && len(data) >= envelopeBytes {
		data = data[envelopeBytes:]
	}
	service, method := path.Split(r.URL.Path)
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(path.Base(service)))
	if err != nil {
		return int64(len(data)) // the next handler refuses the path
	}
	d, ok := found.(protoreflect.ServiceDescriptor)
	if !ok {
		return int64(len(data))
	}
	m := d.Methods().ByName(protoreflect.Name(method))
	if m == nil {
		return int64(len(data))
	}
	return protoBytes(m.Input(), data, 0)
}

// jsonBytes estimates the memory of the message that a JSON text decodes to.
func jsonBytes(data []byte) int64 {
	total := int64(len(data))
	inString := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{':
			total += jsonObjectBytes
		case c == ',':
			total += elementBytes
		}
	}
	return total
}

// protoBytes estimates the memory of a message of the type in the wire format. Bytes that are not
// correct end the estimate; decoding fails there as well.
func protoBytes(d protoreflect.MessageDescriptor, data []byte, depth int) int64 {
	total := messageBytes + fieldBytes*int64(d.Fields().Len())
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return total
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			return total
		}
		value := data[:n]
		data = data[n:]
		f := d.Fields().ByNumber(number)
		switch {
		case f == nil:
			total += int64(n + protowire.SizeTag(number)) // kept as it is
		case kind != protowire.BytesType:
			total += elementBytes
		default:
			content, _ := protowire.ConsumeBytes(value)
			total += elementBytes + fieldValueBytes(f, content, depth)
		}
	}
	return total
}

// fieldValueBytes estimates the memory of a value with a length.
func fieldValueBytes(f protoreflect.FieldDescriptor, content []byte, depth int) int64 {
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		if depth < maxDepth {
			return protoBytes(f.Message(), content, depth+1)
		}
		return elementBytes * int64(len(content))
	case protoreflect.StringKind, protoreflect.BytesKind:
		return int64(len(content))
	}
	return elementBytes * int64(len(content)) // a packed list has an element in each byte at most
}
