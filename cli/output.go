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

// printMessage prints an answer of the API as JSON, fields that are empty included.
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

// table is rows of cells for a terminal.
type table [][]string

// columnGap is how many spaces stand between two columns.
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
