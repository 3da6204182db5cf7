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

// WorkloadRequest is a request of the demo's workload, with the output that a correct answer must have.
type WorkloadRequest struct {
	Account string
	Call    client.Call
	// FirstStage is the first stage of the pipeline. If the run log has no run of it, no stage of the request ran.
	FirstStage string
	// OnceStage is the stage that must run at most once, or "", and OnceInput is the input of that stage.
	OnceStage  string
	OnceInput  string
	WantOutput string
}

// NewWorkloadRequest returns a random request. Its input is unique, so that an answer to another request is detected.
func NewWorkloadRequest(rng *rand.Rand, n int) WorkloadRequest {
	accounts := Accounts()
	req := WorkloadRequest{
		Account: accounts[rng.IntN(len(accounts))],
	}
	input := fmt.Sprintf("order-%d-%08x", n, rng.Uint32())
	switch pick := rng.IntN(10); {
	case pick < 5:
		req.assistant(input, rng.IntN(2) == 0)
	case pick < 7:
		req.summary(input)
	case pick < 8:
		req.availability(input)
	default:
		req.booking(input)
	}
	req.Call.Request.Input = input
	return req
}

func (req *WorkloadRequest) assistant(input string, stream bool) {
	req.Call.Pipeline = pipeAssistant
	req.Call.Urgency = urgentUrgency
	req.FirstStage = stageEncode
	req.WantOutput = runner.GeneratedText(outputAfter(input, stageEncode, stageRetrieve, stageRerank), answerTokens)
	if stream {
		req.Call.OnToken = func(wire.Token) {}
	}
}

func (req *WorkloadRequest) summary(input string) {
	req.Call.Pipeline = pipeSummary
	req.Call.Urgency = patientUrgency
	req.FirstStage = stageEncode
	req.WantOutput = runner.GeneratedText(outputAfter(input, stageEncode), answerTokens)
}

func (req *WorkloadRequest) availability(input string) {
	req.Call.Pipeline = pipeAvailability
	req.Call.Urgency = urgentUrgency
	req.FirstStage = stageCheck
	req.WantOutput = outputAfter(input, stageCheck)
}

func (req *WorkloadRequest) booking(input string) {
	req.Call.Pipeline = pipeBooking
	req.Call.Urgency = 0
	req.FirstStage = stageRetrieve
	req.OnceStage = stageBook
	req.OnceInput = outputAfter(input, stageRetrieve)
	req.WantOutput = outputAfter(input, stageRetrieve, stageBook)
}

// outputAfter returns the output of the last stage if the stages run on the input in sequence.
func outputAfter(input string, stages ...string) string {
	for _, s := range stages {
		input = runner.Output(s, input)
	}
	return input
}

// Kind returns the name of the group that the request is counted in: the name of its pipeline, with a suffix if the answer is streamed.
func (req WorkloadRequest) Kind() string {
	if req.Call.OnToken != nil {
		return req.Call.Pipeline + " (streamed)"
	}
	return req.Call.Pipeline
}

// tokenCollector concatenates the tokens of a streamed answer and counts tokens that are out of sequence.
type tokenCollector struct {
	text strings.Builder
	next int
	gaps int
}

func (s *tokenCollector) add(t wire.Token) {
	if t.Index != s.next {
		s.gaps++
	}
	s.next = t.Index + 1
	s.text.WriteString(t.Text)
}
