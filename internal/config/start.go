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

// SettingsPath returns the settings file that a command line names. Start must have
// accepted the command line.
func SettingsPath(args []string) string {
	var given arguments
	parser := flags.NewParser(&given, flags.PassDoubleDash)
	if _, err := parser.ParseArgs(args); err != nil {
		return ""
	}
	return given.Settings
}

// Exit codes of Start.
const (
	exitOK    = 0
	exitUsage = 1
)

// FromCommandLine parses the command line of a process and reads its settings, with
// ReadEntry or ReadControl. If done is set the process is to exit with the code
// at once: the settings were only to be checked, or something is wrong, which
// has been printed.
func FromCommandLine[S fmt.Stringer](program string, args []string, read func(path string) (S, error), stdout, stderr io.Writer) (settings S, exit int, done bool) {
	var given arguments
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &given); err != nil {
		panic(err)
	}
	rest, err := parser.ParseArgs(args)
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, parse.Message)
		return settings, exitOK, true
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return settings, exitUsage, true
	}
	settings, err = read(given.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return settings, exitUsage, true
	}
	if given.Check {
		fmt.Fprint(stdout, settings)
		return settings, exitOK, true
	}
	return settings, exitOK, false
}
