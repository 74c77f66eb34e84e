package ctl

import "time"

// globals are the flags of every command.
type globals struct {
	Output   string        `short:"o" enum:"text,json" default:"text" help:"Form of results: text or json."`
	Settings string        `type:"path" placeholder:"FILE" help:"Settings file in INI, with the section [ctl]."`
	Set      []string      `sep:"none" placeholder:"KEY=VALUE" help:"Set one key of the settings, before file and environment."`
	Servers  []string      `short:"s" placeholder:"IP:PORT" help:"Keepers or gates to ask; any will do. Also SESAME_CTL_SERVERS."`
	Timeout  time.Duration `placeholder:"10s" help:"Longest time of one command, without the waits that it was asked for."`
}

// cli is the whole command line.
type cli struct {
	globals

	Apply      applyCommand      `cmd:"" help:"Check a complete set of objects and publish it."`
	Check      checkCommand      `cmd:"" help:"Check a complete set of objects; needs no server."`
	Explain    explainCommand    `cmd:"" help:"Tell which fields each kind of object has."`
	Diff       diffCommand       `cmd:"" help:"Compare the objects in force with a file or an earlier revision."`
	Get        getCommand        `cmd:"" help:"Print the objects in force or of an earlier revision."`
	History    historyCommand    `cmd:"" help:"List accepted changes, newest first."`
	Rollback   rollbackCommand   `cmd:"" help:"Publish the objects of an earlier revision as a new one."`
	Drain      drainCommand      `cmd:"" help:"Give a failure domain or upstream no new work."`
	Restore    restoreCommand    `cmd:"" help:"Give a drained failure domain or upstream work again."`
	Status     statusCommand     `cmd:"" help:"Show gates, groups, hosts and drains."`
	Wait       waitCommand       `cmd:"" help:"Wait until a revision is in force on every gate that may take work."`
	Keeper     keeperCommand     `cmd:"" help:"Look at the keepers and replace one."`
	Quarantine quarantineCommand `cmd:"" help:"Requests that are refused because they crash upstreams."`
	Timeline   timelineCommand   `cmd:"" help:"Show the events of all processes in causal order."`
	Keys       keysCommand       `cmd:"" help:"Keys and certificates."`
	Config     settingsCommand   `cmd:"" name:"settings" help:"Print or check the settings of sesamectl."`
	Completion completionCommand `cmd:"" help:"Print the line that turns on completion in a shell."`
}

const description = `Edits and shows a sesamemux deployment.

` + exitHelp
