// Package schema generates the JSON Schemas of the settings and the table from their Go types.
package schema

import (
	"encoding/json"
	"net/netip"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`
)

// Settings returns the JSON Schema of a host's settings.
func Settings() ([]byte, error) { return marshalSchema(&config.Settings{}) }

// Table returns the JSON Schema of the configuration table.
func Table() ([]byte, error) { return marshalSchema(&config.Table{}) }

// marshalSchema returns the schema of v's type as indented JSON with a final newline.
func marshalSchema(v any) ([]byte, error) {
	r := &jsonschema.Reflector{
		Anonymous:                  true,
		Mapper:                     mapTextType,
		RequiredFromJSONSchemaTags: true,
	}
	text, err := json.MarshalIndent(r.Reflect(v), "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode schema")
	}
	return append(text, '\n'), nil
}

// mapTextType returns the schema of a type that is encoded as text, or nil for all other types.
func mapTextType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[config.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern, Description: "Go duration text"}
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Description: "IP address and port"}
	default:
		return nil
	}
}
