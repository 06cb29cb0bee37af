package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	urfave "github.com/urfave/cli/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printMessage prints a response of the API as JSON, including empty fields.
func printMessage(c *urfave.Context, m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	return printJSON(c, json.RawMessage(raw))
}

func printJSON(c *urfave.Context, v any) error {
	encoder := json.NewEncoder(c.App.Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table holds rows of cells to print in aligned columns.
type table [][]string

// columnGap is the number of spaces between two columns.
const columnGap = 2

func (t table) print(c *urfave.Context) error {
	w := tabwriter.NewWriter(c.App.Writer, 0, 0, columnGap, ' ', 0)
	for _, row := range t {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}
