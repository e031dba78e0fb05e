// Package wire defines the messages that package transport carries between entries
// and agents and among entries, and their encoding.
//
// Input and output: typed messages. State: none. Messages are encoded as
// MessagePack by github.com/tinylib/msgp; messages_gen.go is generated and
// committed. Run `make generate` after changing messages.go. Fields are encoded by
// position, so a new field goes to the end and needs a new Protocol number.
package wire
