package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cornelwing/cornelwing/internal/stand/runner"
	"github.com/cornelwing/cornelwing/pkg/client"
	"github.com/cornelwing/cornelwing/pkg/wire"
)

const (
	urgentUrgency  = 1
	patientUrgency = 6
)

// Order is one request of the demo's workload, with the answer that it must get.
type Order struct {
	Account string
	Call    client.Call
	// First is the first stage, by which the ledger knows whether anything ran.
	First string
	// Once is the stage that must not run twice, with the input that it gets, or "".
	Once      string
	OnceInput string
	Want      string
}

// NewOrder draws a request; its input is unique, so that an answer can belong to it alone.
func NewOrder(rng *rand.Rand, n int) Order {
	accounts := Accounts()
	o := Order{
		Account: accounts[rng.IntN(len(accounts))],
	}
	input := fmt.Sprintf("order-%d-%08x", n, rng.Uint32())
	switch pick := rng.IntN(10); {
	case pick < 5:
		o.assistant(input, rng.IntN(2) == 0)
	case pick < 7:
		o.summary(input)
	case pick < 8:
		o.availability(input)
	default:
		o.booking(input)
	}
	o.Call.Request.Input = input
	return o
}

func (o *Order) assistant(input string, stream bool) {
	o.Call.Pipeline = pipeAssistant
	o.Call.Urgency = urgentUrgency
	o.First = stageEncode
	o.Want = runner.Generated(after(input, stageEncode, stageRetrieve, stageRerank), answerTokens)
	if stream {
		o.Call.OnToken = func(wire.Token) {}
	}
}

func (o *Order) summary(input string) {
	o.Call.Pipeline = pipeSummary
	o.Call.Urgency = patientUrgency
	o.First = stageEncode
	o.Want = runner.Generated(after(input, stageEncode), answerTokens)
}

func (o *Order) availability(input string) {
	o.Call.Pipeline = pipeAvailability
	o.Call.Urgency = urgentUrgency
	o.First = stageCheck
	o.Want = after(input, stageCheck)
}

func (o *Order) booking(input string) {
	o.Call.Pipeline = pipeBooking
	o.Call.Urgency = 0
	o.First = stageRetrieve
	o.Once = stageBook
	o.OnceInput = after(input, stageRetrieve)
	o.Want = after(input, stageRetrieve, stageBook)
}

// after returns what the stages make of the input one after another.
func after(input string, stages ...string) string {
	for _, s := range stages {
		input = runner.Output(s, input)
	}
	return input
}

// Kind names the sort of the order for a person.
func (o Order) Kind() string {
	if o.Call.OnToken != nil {
		return o.Call.Pipeline + " (streamed)"
	}
	return o.Call.Pipeline
}

// streamed collects the tokens of a streamed order.
type streamed struct {
	text strings.Builder
	next int
	gaps int
}

func (s *streamed) token(t wire.Token) {
	if t.Index != s.next {
		s.gaps++
	}
	s.next = t.Index + 1
	s.text.WriteString(t.Text)
}
