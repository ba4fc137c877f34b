package loader

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// decoder fills settings from a tree of nodes. It goes on after a problem, so
// that all are found in one pass.
type decoder struct {
	reporter *reporter
}

// elementDefaults holds the value that an element of a list starts from.
var elementDefaults = map[reflect.Type]reflect.Value{
	reflect.TypeFor[Host]():  reflect.ValueOf(DefaultHost()),
	reflect.TypeFor[Team]():  reflect.ValueOf(DefaultTeam()),
	reflect.TypeFor[Class](): reflect.ValueOf(DefaultClass()),
}

// decode fills target with the value at path. target keeps what the file leaves out.
func (decoder *decoder) decode(path string, value *node, target reflect.Value) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		decoder.decodeText(path, value, unmarshaler)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decoder.decodeStruct(path, value, target)
	case reflect.Slice:
		decoder.decodeSlice(path, value, target)
	case reflect.String:
		decodeScalar(decoder, path, value, "a string", target.SetString)
	case reflect.Bool:
		decodeScalar(decoder, path, value, "true or false", target.SetBool)
	case reflect.Float64:
		decoder.decodeFloat(path, value, target)
	default:
		decoder.decodeInteger(path, value, target)
	}
}

func decodeScalar[T any](decoder *decoder, path string, value *node, want string, set func(T)) {
	token, ok := value.token.(T)
	if !ok {
		decoder.wrongType(path, value, want)
		return
	}
	set(token)
}

func (decoder *decoder) wrongType(path string, value *node, want string) {
	decoder.reporter.add(path, "is %s; it must be %s", value.describe(), want)
}

func (decoder *decoder) decodeFloat(path string, value *node, target reflect.Value) {
	decodeScalar(decoder, path, value, "a number", func(number json.Number) {
		parsed, err := number.Float64()
		if err != nil {
			decoder.reporter.add(path, "%s is too large a number", number)
			return
		}
		target.SetFloat(parsed)
	})
}

func (decoder *decoder) decodeInteger(path string, value *node, target reflect.Value) {
	decodeScalar(decoder, path, value, "a whole number", func(number json.Number) {
		parsed, err := number.Int64()
		if err != nil || target.OverflowInt(parsed) {
			decoder.reporter.add(path, "%s must be a whole number of at most 64 bits, written without exponent", number)
			return
		}
		target.SetInt(parsed)
	})
}

func (decoder *decoder) decodeText(path string, value *node, target encoding.TextUnmarshaler) {
	decodeScalar(decoder, path, value, "a string: "+wantedText(target), func(text string) {
		if err := target.UnmarshalText([]byte(text)); err != nil {
			decoder.reporter.add(path, "%s", explainText(text, target))
		}
	})
}

// wantedText says what text target reads.
func wantedText(target encoding.TextUnmarshaler) string {
	switch target.(type) {
	case *netip.AddrPort:
		return `an IP number and a port such as "10.1.0.5:7000" or "[fd00::5]:7000"`
	case *Duration:
		return `a duration with its unit such as "250ms", "5s" or "1m30s"`
	case *Role:
		return oneOf(RoleStrings())
	case *LogLevel:
		return oneOf(LogLevelStrings())
	default:
		return "text of another form"
	}
}

// explainText says why target can't read text, and what it reads.
func explainText(text string, target encoding.TextUnmarshaler) string {
	wanted := wantedText(target)
	switch target.(type) {
	case *netip.AddrPort:
		return fmt.Sprintf("%q %s; it must be %s", text, addressFault(text), wanted)
	case *Role:
		return fmt.Sprintf("%q is no role; it must be %s%s", text, wanted, didYouMean(text, RoleStrings()))
	case *LogLevel:
		return fmt.Sprintf("%q is no level; it must be %s%s", text, wanted, didYouMean(text, LogLevelStrings()))
	default:
		return fmt.Sprintf("%q is wrong; it must be %s", text, wanted)
	}
}

// addressFault says what keeps text from being an IP number and a port.
func addressFault(text string) string {
	if _, err := netip.ParseAddr(strings.Trim(text, "[]")); err == nil {
		return "has no port"
	}
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return "is no IP number with a port"
	}
	name := strings.Trim(text[:colon], "[]")
	if _, err := netip.ParseAddr(name); err == nil {
		return "has no valid port (1 to 65535)"
	}
	if strings.ContainsFunc(name, isLetter) && !strings.Contains(name, ":") {
		return "has a host name where an IP number is needed"
	}
	return "has no valid IP number"
}

func isLetter(char rune) bool { return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' }

func (decoder *decoder) decodeSlice(path string, value *node, target reflect.Value) {
	if value.token != json.Delim('[') {
		decoder.wrongType(path, value, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(value.elements), len(value.elements))
	initial, hasDefault := elementDefaults[target.Type().Elem()]
	for index, element := range value.elements {
		elementPath := fmt.Sprintf("%s[%d]", path, index)
		decoder.reporter.place(elementPath, element.offset)
		if hasDefault {
			list.Index(index).Set(initial)
		}
		decoder.decode(elementPath, element, list.Index(index))
	}
	target.Set(list)
}

func (decoder *decoder) decodeStruct(path string, value *node, target reflect.Value) {
	if value.token != json.Delim('{') {
		decoder.wrongType(path, value, "an object")
		return
	}
	fields := fieldsByKey(target.Type())
	firstOffsets := make(map[string]int64)
	for _, member := range value.members {
		memberPath := joinPath(path, member.key)
		index, known := fields[member.key]
		if !known {
			line := decoder.reporter.lineAt(member.offset)
			decoder.unknownKey(line, memberPath, member.key, target.Type())
			continue
		}
		if first, again := firstOffsets[member.key]; again {
			decoder.doubleKey(first, member.offset, memberPath)
			continue
		}
		firstOffsets[member.key] = member.offset
		decoder.reporter.place(memberPath, member.offset)
		decoder.decode(memberPath, member.value, target.Field(index))
	}
}

func (decoder *decoder) unknownKey(line int, path, key string, structType reflect.Type) {
	keys := keysOf(structType)
	hint := didYouMean(key, keys)
	if hint == "" {
		hint = "; known here: " + strings.Join(keys, ", ")
	}
	decoder.reporter.addAt(line, path, "unknown key"+hint)
}

func (decoder *decoder) doubleKey(first, second int64, path string) {
	reporter := decoder.reporter
	message := fmt.Sprintf("the key stands twice, first in line %d; keep one", reporter.lineAt(first))
	reporter.addAt(reporter.lineAt(second), path, message)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// keysOf returns the JSON keys of a struct in the order of its fields.
func keysOf(structType reflect.Type) []string {
	keys := make([]string, structType.NumField())
	for index := range keys {
		keys[index], _, _ = strings.Cut(structType.Field(index).Tag.Get("json"), ",")
	}
	return keys
}

func fieldsByKey(structType reflect.Type) map[string]int {
	fields := make(map[string]int)
	for index, key := range keysOf(structType) {
		fields[key] = index
	}
	return fields
}
