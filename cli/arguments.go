package cli

import (
	"slices"
	"strings"

	urfave "github.com/urfave/cli/v2"
)

// completionFlag is the last argument when a shell requests completions.
const completionFlag = "--generate-bash-completion"

// flagsFirst moves a command's flags before its arguments, so that operators may write
// `apply FILE --base 3`: the library stops parsing flags at the first argument.
// Arguments after "--" stay as they are, and so do those of a command with
// subcommands, because only the order shows which flags belong to which command.
func flagsFirst(args []string, commands []*urfave.Command) []string {
	if len(args) < 2 || slices.Contains(args, completionFlag) {
		return args
	}
	command := findCommand(args[1], commands)
	if command == nil || len(command.Subcommands) > 0 {
		return args
	}
	var flags, rest []string
	for i := 2; i < len(args); i++ {
		arg := args[i]
		if arg == "--" {
			rest = append(rest, args[i+1:]...)
			break
		}
		if len(arg) < 2 || arg[0] != '-' {
			rest = append(rest, arg)
			continue
		}
		flags = append(flags, arg)
		if takesValue(arg, command) && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	out := append(slices.Clone(args[:2]), flags...)
	if len(rest) > 0 {
		out = append(out, "--")
	}
	return append(out, rest...)
}

func findCommand(name string, commands []*urfave.Command) *urfave.Command {
	for _, command := range commands {
		if command.HasName(name) {
			return command
		}
	}
	return nil
}

// takesValue reports whether the next argument is the flag's value.
func takesValue(arg string, command *urfave.Command) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	for _, flag := range command.Flags {
		if !slices.Contains(flag.Names(), name) {
			continue
		}
		documented, ok := flag.(urfave.DocGenerationFlag)
		return ok && documented.TakesValue()
	}
	return false
}
