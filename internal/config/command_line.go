package config

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// arguments is the command line of a process.
type arguments struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"yes" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings file, print every setting with its default, and exit"`
}

// SettingsPath returns the path of the settings file that a command line names.
// FromCommandLine must have accepted the command line.
func SettingsPath(args []string) string {
	var parsed arguments
	parser := flags.NewParser(&parsed, flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		return ""
	}
	return parsed.Settings
}

// Exit codes that FromCommandLine returns.
const (
	exitOK    = 0
	exitUsage = 1
)

// FromCommandLine parses the command line of a process and reads its settings with
// read, such as ReadEntry. If done is true the process must exit at once with the
// code in exit: help or checked settings were printed to stdout, or an error to
// stderr.
func FromCommandLine[S fmt.Stringer](program string, args []string, read func(path string) (S, error), stdout, stderr io.Writer) (settings S, exit int, done bool) {
	var parsed arguments
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &parsed); err != nil {
		panic(err)
	}
	rest, err := parser.ParseArgs(args)
	var parseError *flags.Error
	if errors.As(err, &parseError) && parseError.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, parseError.Message)
		return settings, exitOK, true
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return settings, exitUsage, true
	}
	settings, err = read(parsed.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return settings, exitUsage, true
	}
	if parsed.Check {
		fmt.Fprint(stdout, settings)
		return settings, exitOK, true
	}
	return settings, exitOK, false
}
