package ctl

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"laburnumgrade/internal/logging"
)

// Names of the environment variables.
const (
	envEntry       = "LGCTL_ENTRY"
	envTeamKey     = "LGCTL_KEY"
	envOperatorKey = "LGCTL_OPERATOR_KEY"
)

// Environment holds the environment variables and standard streams of a run of
// lgctl.
type Environment struct {
	Getenv func(string) string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// app holds the options common to all verbs, and the report of the verb that was
// run.
type app struct {
	Entry   []string      `long:"entry" value-name:"IP:PORT" description:"address of an entry; may be given several times, tried in turn (default: LGCTL_ENTRY, comma separated)"`
	KeyFile string        `long:"key-file" value-name:"FILE" description:"file that holds the team's or operator's key (default: LGCTL_KEY for job and call, LGCTL_OPERATOR_KEY for the rest)"`
	JSON    bool          `long:"json" description:"print one JSON object"`
	Timeout time.Duration `long:"timeout" value-name:"TIME" default:"5s" description:"longest wait for one entry's answer"`
	Check   bool          `long:"check" description:"check the entry addresses and the key, then exit"`

	environment Environment
	http        *http.Client
	report      *report
}

// Main runs lgctl with arguments that exclude the program name, and returns its
// exit code.
func Main(arguments []string, environment Environment) ExitCode {
	a := &app{environment: environment, http: newHTTPClient()}
	defer a.http.CloseIdleConnections()
	parser := flags.NewNamedParser("lgctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	a.addVerbs(parser)
	rest, err := parser.ParseArgs(arguments)
	var parseError *flags.Error
	switch {
	case errors.As(err, &parseError) && parseError.Type == flags.ErrHelp:
		fmt.Fprintln(environment.Stdout, parseError.Message)
		return ExitOK
	case err != nil:
		// The parser stops at the first error, which may be before --json.
		a.JSON = a.JSON || slices.Contains(arguments, "--json")
		a.report = usage(err.Error(), "run lgctl --help")
	case a.report == nil && len(rest) > 0:
		a.report = usage(fmt.Sprintf("unknown verb %q", rest[0]), "run lgctl --help")
	case a.report == nil && a.Check:
		a.report = a.check()
	case a.report == nil:
		a.report = usage("no verb is given", "run lgctl --help")
	}
	a.print(a.report)
	return a.report.Exit
}

// newHTTPClient returns a client that uses no proxy and follows no redirects,
// either of which would disclose keys to another host.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// addVerbs declares the verbs.
func (a *app) addVerbs(parser *flags.Parser) {
	must(parser.AddGroup("Common options", "", a))
	doc := must(parser.AddCommand("doc", "documents: get, put, check", "", &struct{}{}))
	must(doc.AddCommand("get", "print a document and its version", "", &docGet{app: a}))
	must(doc.AddCommand("put", "check a document and put it in force", "", &docPut{app: a}))
	must(doc.AddCommand("check", "check a document offline", "", &docCheck{app: a}))
	key := must(parser.AddCommand("key", "team keys: grant, withdraw, list", "", &struct{}{}))
	must(key.AddCommand("grant", "grant a team a new key, which is shown once", "", &keyGrant{app: a}))
	must(key.AddCommand("withdraw", "withdraw a key", "", &keyWithdraw{app: a}))
	must(key.AddCommand("list", "list a team's keys without their values", "", &keyList{app: a}))
	job := must(parser.AddCommand("job", "jobs: submit, status, result, cancel, explain", "", &struct{}{}))
	must(job.AddCommand("submit", "submit a job", "", &jobSubmit{app: a}))
	must(job.AddCommand("status", "show a job's state", "", &jobStatus{app: a}))
	must(job.AddCommand("result", "show a job's results once it has ended", "", &jobResult{app: a}))
	must(job.AddCommand("cancel", "cancel a job", "", &jobCancel{app: a}))
	must(job.AddCommand("explain", "say why a job is waiting", "", &jobExplain{app: a}))
	must(parser.AddCommand("call", "send one request to a service", "", &callVerb{app: a}))
	must(parser.AddCommand("status", "show groups, teams and targets", "", &statusVerb{app: a}))
	must(parser.AddCommand("members", "list the system's processes", "", &membersVerb{app: a}))
	must(parser.AddCommand("recover", "make one replica the only voter of a group that lost its quorum for good", "", &recoverVerb{app: a}))
	must(parser.AddCommand("timeline", "merge the time lines of processes in causal order", "", &timelineVerb{app: a}))
}

// must returns the value of a declaration. An error is a programming error in this
// file, so it panics.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// run runs a verb and stores its report. Left-over arguments and an invalid
// timeout are usage errors; with --check only the common options are checked.
func (a *app) run(rest []string, verb func() *report) error {
	switch {
	case len(rest) > 0:
		a.report = usage(fmt.Sprintf("unexpected argument %q", rest[0]), "run the verb with --help")
	case a.Timeout <= 0:
		a.report = usage(fmt.Sprintf("--timeout: found %v, allowed a time above 0", a.Timeout), "")
	case a.Check:
		a.report = a.check()
	default:
		a.report = verb()
	}
	return nil
}

// check checks the entry addresses and the key file.
func (a *app) check() *report {
	if _, problem := a.entries(); problem != nil {
		return problem
	}
	if _, problem := a.key(""); problem != nil {
		return problem
	}
	return &report{Exit: ExitOK, Message: "entry addresses and key file are well formed"}
}

// entries returns the addresses of the entries, from --entry or else from the
// environment.
func (a *app) entries() ([]string, *report) {
	entries := a.Entry
	if len(entries) == 0 && a.environment.Getenv(envEntry) != "" {
		entries = strings.Split(a.environment.Getenv(envEntry), ",")
	}
	if len(entries) == 0 {
		return nil, usage("no entry address is given", "give --entry ip:port, or set "+envEntry)
	}
	return checkAddresses(entries)
}

// checkAddresses checks that the addresses are of the form ip:port, and returns
// them without surrounding spaces.
func checkAddresses(addresses []string) ([]string, *report) {
	clean := make([]string, len(addresses))
	for i, address := range addresses {
		clean[i] = strings.TrimSpace(address)
		if parsed, err := netip.ParseAddrPort(clean[i]); err != nil || parsed.Port() == 0 {
			return nil, usage(fmt.Sprintf("address: found %q, allowed ip:port with an IP number and a port from 1 to 65535", clean[i]), "")
		}
	}
	return clean, nil
}

// key returns the key from the key file, or else from the environment variable. It
// is empty if there is none, because services with an open queue need no key.
func (a *app) key(variable string) (logging.Secret, *report) {
	if a.KeyFile == "" {
		if variable == "" {
			return logging.Secret{}, nil
		}
		return a.checkKey(variable, a.environment.Getenv(variable))
	}
	content, err := os.ReadFile(a.KeyFile)
	if err != nil {
		return logging.Secret{}, usage("key file: "+err.Error(), "")
	}
	if strings.TrimSpace(string(content)) == "" {
		return logging.Secret{}, usage("key file "+a.KeyFile+" is empty", "")
	}
	return a.checkKey("key file "+a.KeyFile, string(content))
}

// checkKey trims a key and checks that it can be sent in a header. source names
// where the key is from.
func (a *app) checkKey(source, text string) (logging.Secret, *report) {
	text = strings.TrimSpace(text)
	if strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return logging.Secret{}, usage(source+": found spaces or unprintable characters within the key, allowed one line with the key alone", "")
	}
	return logging.NewSecret(text), nil
}

// input returns the content of a file, that of the standard input for "-", and nil
// for an empty path.
func (a *app) input(path string) ([]byte, *report) {
	if path == "" {
		return nil, nil
	}
	read := os.ReadFile
	if path == "-" {
		read = func(string) ([]byte, error) { return io.ReadAll(a.environment.Stdin) }
	}
	content, err := read(path)
	if err != nil {
		return nil, usage(err.Error(), "")
	}
	return content, nil
}
