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

// Key returns the command that generates and hashes the keys of client accounts
// and operators.
func Key() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "generate and hash keys of accounts and operators",
		Commands: []*cli.Command{
			{Name: "new", Usage: "generate a random key and print it with its hash", Action: newKey},
			{Name: "hash", Usage: "print the hash of the key on the first line of standard input", Action: hashKey},
		},
	}
}

// keyBytes is the size of a random key. 256 bits can't be guessed, so a plain
// hash is enough to protect the key.
const keyBytes = 32

func newKey(_ context.Context, c *cli.Command) error {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read ends the process rather than fail.
	key := base64.RawURLEncoding.EncodeToString(random[:])
	printLine(c, "key         "+key)
	printLine(c, "key-sha256  "+note.HashKey(key))
	return nil
}

// hashKey reads the key from standard input. On the command line it would appear
// in the shell's history and in the list of processes.
func hashKey(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return cli.Exit("key hash: pass the key on standard input, not on the command line", ExitUsage)
	}
	line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		message := "key hash: no key on standard input"
		if err != nil {
			message += ": " + err.Error()
		}
		return cli.Exit(message, ExitUsage)
	}
	printLine(c, note.HashKey(key))
	return nil
}
