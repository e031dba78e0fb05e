package cli

import "github.com/peterbourgon/ff/v3/ffcli"

// externalCommands are the commands that other packages implement.
func externalCommands(e *env) []*ffcli.Command {
	return []*ffcli.Command{demoCommand(e)}
}
