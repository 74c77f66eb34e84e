package ctl

import "time"

// globals are the flags of every command.
type globals struct {
	Output   string        `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`
	Settings string        `type:"path" placeholder:"FILE" help:"INI settings file with the section [ctl]."`
	Set      []string      `sep:"none" placeholder:"KEY=VALUE" help:"Set one settings key; overrides file and environment."`
	Servers  []string      `short:"s" placeholder:"IP:PORT" help:"Keepers or gates to contact, at least one. Also SESAME_CTL_SERVERS."`
	Timeout  time.Duration `placeholder:"10s" help:"Timeout of one command, not counting requested waits."`
}

// cli is the whole command line.
type cli struct {
	globals

	Apply      applyCommand      `cmd:"" help:"Validate a complete set of objects and publish it."`
	Check      checkCommand      `cmd:"" help:"Validate a complete set of objects; needs no server."`
	Explain    explainCommand    `cmd:"" help:"Describe the fields of each kind of object."`
	Diff       diffCommand       `cmd:"" help:"Compare the objects in force with a file or an earlier revision."`
	Get        getCommand        `cmd:"" help:"Print the objects in force or those of an earlier revision."`
	History    historyCommand    `cmd:"" help:"List accepted changes, newest first."`
	Rollback   rollbackCommand   `cmd:"" help:"Publish the objects of an earlier revision as a new one."`
	Drain      drainCommand      `cmd:"" help:"Stop sending new work to a failure domain or upstream."`
	Restore    restoreCommand    `cmd:"" help:"Resume sending work to a drained failure domain or upstream."`
	Status     statusCommand     `cmd:"" help:"Show gates, groups, hosts and drains."`
	Wait       waitCommand       `cmd:"" help:"Wait until a revision is in force on every gate that may take work."`
	Keeper     keeperCommand     `cmd:"" help:"Show the keepers or replace one."`
	Quarantine quarantineCommand `cmd:"" help:"List or release requests that are refused because they crash upstreams."`
	Timeline   timelineCommand   `cmd:"" help:"Show the events of all processes in causal order."`
	Keys       keysCommand       `cmd:"" help:"Create certificates and API key digests."`
	Config     settingsCommand   `cmd:"" name:"settings" help:"Print or validate the settings of sesamectl."`
	Completion completionCommand `cmd:"" help:"Print the commands that enable completion in a shell."`
}

const description = `Manages and inspects a sesamemux deployment.

` + exitHelp
