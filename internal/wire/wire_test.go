package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const helloMessage = `{"msg":"HELLO","sidecar":3,"init-seed":18446744073709551615,"env":{"fleet-size":1,"locality":"z",` +
	`"tick":5.0,"new-key":[1],"registry-mode":"on_request","allowed":{"max-legs":2,"retry-after":true},` +
	`"guarantees":{"ask-within":10000.0},"products":[{"name":"p","effect":"retryable","expected-time":500.0,"value":1.0}]}}`

const inventoryMessage = `{"msg":"INVENTORY","ref":0,"members-list":[{"health":"Running","endpoint":"10.0.0.1:80","locality":"z",` +
	`"units":1,"bay":0,"ready-at":null},{"health":"Dancing","endpoint":"10.0.0.2:80","locality":"z"}]}`

const membersMessage = `{"msg":"MEMBERS","sidecar":3,"epoch":1,"scope":"disk","ref":0}`

const queryMessage = `{"msg":"QUERY","sidecar":3,"ref":"5d3a91c4-29e0-4d37-aecf-79864cd1a9ed","cost":null,"resent":false,` +
	`"customer":null,"deadline":9000.5,"service":"p"}`

func TestRunTranslatesMessagesAndActions(t *testing.T) {
	sync, end := `{"msg":"SYNC","moment":1000.25}`, `{"msg":"EOB"}`
	reply := `{"msg":"REPLY","sidecar":3,"ref":"5d3a91c4-29e0-4d37-aecf-79864cd1a9ed","closed":false,"duration":2.5,` +
		`"try":0,"status":"STRANGE","endpoint":"10.0.0.1:80","pressure":{"odd":1}}`
	for _, c := range []struct {
		name, wantError            string
		input                      []string
		wantOutput, unwantedOutput []string
	}{
		{"an empty batch is acknowledged", "", []string{sync, end}, []string{`{"msg":"OK"}`}, nil},
		{"an exchange is sent to a listed endpoint", "", []string{sync, helloMessage, inventoryMessage, membersMessage,
			queryMessage, end}, []string{
			`{"msg":"WATCH","sidecar":3,"want":true}`, `"ref":"5d3a91c4-29e0-4d37-aecf-79864cd1a9ed","give-up-after":`,
			`"endpoint":"10.0.0.1:80"}`,
		}, []string{"10.0.0.2", "DIE"}},
		{"the content of an inventory number is replaced", "", []string{sync, helloMessage, inventoryMessage, membersMessage,
			strings.ReplaceAll(inventoryMessage, "0.0.1:", "0.0.9:"), membersMessage, queryMessage, end}, []string{`10.0.0.9:80`}, []string{"0.0.1:"}},
		{"a retired instance ignores later messages", "", []string{sync, helloMessage, inventoryMessage, membersMessage,
			queryMessage, `{"msg":"RETIRE","sidecar":3}`, reply, end},
			[]string{`{"msg":"OK"}`}, []string{"END_FAILED", "DIE"}},
		{"an unknown message and a timer label of 2^63 are accepted", "", []string{sync, helloMessage, `{"msg":"NEWS","sidecar":3}`,
			`{"msg":"ALARM","sidecar":3,"label":9223372036854775808}`, end}, []string{`{"msg":"OK"}`}, []string{"DIE"}},
		{"a panic inside an instance is reported", "", []string{sync, helloMessage, inventoryMessage, membersMessage, queryMessage,
			strings.Replace(reply, `"try":0`, `"try":-1`, 1), end}, []string{`{"msg":"DIE","sidecar":3,"line":`}, nil},
		{"a pool sends messages and ignores invalid ones", "", []string{sync,
			strings.Replace(strings.Replace(helloMessage, `"max-legs":2`, `"max-legs":2,"peers":true`, 1), `"fleet-size":1`, `"fleet-size":5`, 1),
			`{"msg":"MEMO","sidecar":3,"origin-peer":2,"contents":"zz"}`, `{"msg":"MEMO","sidecar":3,"origin-peer":-2,"contents":""}`,
			`{"msg":"MEMO","sidecar":3}`, inventoryMessage, membersMessage, `{"msg":"MEMO","sidecar":3,"origin-peer":2,"contents":"0011"}`,
			strings.Replace(queryMessage, `"cost":null`, `"cost":12.5`, 1), end},
			[]string{`{"msg":"WRITE_PEER","sidecar":3,"to":`, `"contents":"`, `"endpoint":"10.0.0.1:80"}`}, []string{"DIE", `"to":0,`}},
		{"a line that is not JSON", "line 2: not JSON", []string{sync, "{"}, nil, nil},
		{"input that ends inside a batch", "line 2: input ended inside a batch", []string{sync}, nil, nil},
	} {
		var out bytes.Buffer
		err := NewHub(strings.NewReader(strings.Join(c.input, "\n")+"\n"), &out).Run()
		if c.wantError != "" {
			assert.ErrorContains(t, err, c.wantError, c.name)
			continue
		}
		assert.NoError(t, err, c.name)
		for _, s := range c.wantOutput {
			assert.Contains(t, out.String(), s, c.name)
		}
		for _, s := range c.unwantedOutput {
			assert.NotContains(t, out.String(), s, c.name)
		}
	}
}
