package command

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/base64"
	"strings"

	"github.com/urfave/cli/v3"

	"nutmeglock.example/nutmeglock/note"
)

// Key returns the subcommand that makes keys and their hashes, for accounts
// and for operators.
func Key() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make keys of accounts and operators, and their hashes",
		Commands: []*cli.Command{
			{Name: "new", Usage: "print a new random key and its hash", Action: newKey},
			{Name: "hash", Usage: "print the hash of the key on the first line of the standard input", Action: hashKey},
		},
	}
}

// keyBytes is the size of a random key: 256 bits, which nobody guesses, so
// that a plain hash protects it.
const keyBytes = 32

func newKey(_ context.Context, c *cli.Command) error {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // Never fails, by its documentation.
	key := base64.RawURLEncoding.EncodeToString(random[:])
	say(c, "key         "+key)
	say(c, "key-sha256  "+note.HashKey(key))
	return nil
}

// hashKey reads the key from the standard input: on the command line it would
// stay in the shell's history and be seen in the list of processes.
func hashKey(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return cli.Exit("key hash: give the key on the standard input, not on the command line", ExitUsage)
	}
	line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		message := "key hash: no key on the standard input"
		if err != nil {
			message += ": " + err.Error()
		}
		return cli.Exit(message, ExitUsage)
	}
	say(c, note.HashKey(key))
	return nil
}
