package authorizer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Tokens knows the tokens of a file and reads it again when it changes. Set the
// exported fields before Load.
type Tokens struct {
	File string
	Log  *log.Logger

	mutex    sync.Mutex
	byDigest map[digest]entry
	modified time.Time
	size     int64
}

// digest is the SHA-256 of a token. The file holds these, so that who reads it
// can't send requests with it.
type digest [sha256.Size]byte

type entry struct {
	principal Principal
	expires   time.Time
}

// tokensBody is the JSON of the file.
type tokensBody struct {
	Tokens []tokenBody `json:"tokens"`
}

type tokenBody struct {
	// Name says whose the token is, for the log.
	Name string `json:"name"`
	// SHA256 is the SHA-256 of the token in hexadecimal digits.
	SHA256 string `json:"sha-256"`
	Role   Role   `json:"role"`
	// Caller and Team are for the role caller.
	Caller identifier.CallerID `json:"caller"`
	Team   identifier.TeamID   `json:"team"`
	// Expires is when the token ends; none means never.
	Expires *time.Time `json:"expires"`
}

// Load reads the file for the first time.
func (tokens *Tokens) Load() error {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	return tokens.read()
}

// lookup returns the entry of a token, after a look at the file. A file that has
// become wrong leaves the earlier tokens in force: refusing all callers for a
// misplaced comma would be worse. The log line is how one notices.
func (tokens *Tokens) lookup(wanted digest) (entry, bool) {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	if info, err := os.Stat(tokens.File); err == nil && (!info.ModTime().Equal(tokens.modified) || info.Size() != tokens.size) {
		if err := tokens.read(); err != nil {
			tokens.Log.Error("changed tokens not taken, the earlier ones stay in force", "file", tokens.File, "err", err)
		} else {
			tokens.Log.Info("changed tokens in force", "file", tokens.File, "tokens", len(tokens.byDigest))
		}
	}
	found, known := tokens.byDigest[wanted]
	return found, known
}

func (tokens *Tokens) read() error {
	info, err := os.Stat(tokens.File)
	if err != nil {
		return newError("read tokens", ErrorFile, err)
	}
	tokens.modified, tokens.size = info.ModTime(), info.Size()
	content, err := os.ReadFile(tokens.File)
	if err != nil {
		return newError("read tokens", ErrorFile, err)
	}
	parsed, err := parseTokens(content)
	if err != nil {
		return err
	}
	tokens.byDigest = parsed
	return nil
}

func parseTokens(content []byte) (map[digest]entry, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var body tokensBody
	if err := decoder.Decode(&body); err != nil {
		return nil, newError("parse tokens", ErrorMalformed, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, newError("parse tokens", ErrorMalformed, eris.New("the file goes on after the tokens"))
	}
	parsed := make(map[digest]entry, len(body.Tokens))
	for index := range body.Tokens {
		token := &body.Tokens[index]
		key, err := token.check()
		if err != nil {
			return nil, newError("parse tokens", ErrorMalformed, eris.Wrapf(err, "tokens[%d]", index))
		}
		if _, again := parsed[key]; again {
			return nil, newError("parse tokens", ErrorMalformed, eris.Errorf("tokens[%d]: the same sha-256 stands twice", index))
		}
		parsed[key] = token.entry()
	}
	return parsed, nil
}

// check returns the digest, or what is wrong with the entry.
func (token *tokenBody) check() (digest, error) {
	var key digest
	raw, err := hex.DecodeString(token.SHA256)
	if err != nil || len(raw) != len(key) {
		return key, eris.New("sha-256 must be 64 hexadecimal digits")
	}
	copy(key[:], raw)
	isCaller := token.Role == RoleCaller
	switch {
	case token.Name == "":
		return key, eris.New("name must not be empty")
	case !token.Role.IsARole():
		return key, eris.New("role must be caller, operator or reader")
	case isCaller != (token.Caller != "") || isCaller != (token.Team != ""):
		return key, eris.New("caller and team must be given for the role caller, and for no other")
	}
	return key, nil
}

func (token *tokenBody) entry() entry {
	created := entry{principal: Principal{Role: token.Role, Name: token.Name, Caller: token.Caller, Team: token.Team}}
	if token.Expires != nil {
		created.expires = *token.Expires
	}
	return created
}
