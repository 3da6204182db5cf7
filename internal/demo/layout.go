package demo

import (
	"time"

	"github.com/cornelwing/cornelwing/internal/setup"
	"github.com/cornelwing/cornelwing/internal/stand"
	"github.com/cornelwing/cornelwing/pkg/config"
)

const (
	// OperatorToken is the token of the demo's operator, who has the role approver.
	OperatorToken = "demo-operator"
	loopback      = "127.0.0.1"
	anyPort       = loopback + ":0"
)

// Stage names of the demo.
const (
	stageEncode   = "encode"
	stageRetrieve = "retrieve"
	stageRerank   = "rerank"
	stageGenerate = "generate"
	stageCheck    = "check"
	stageBook     = "book"
)

// Pipeline names of the demo.
const (
	pipeAssistant    = "assistant"
	pipeSummary      = "summary"
	pipeAvailability = "availability"
	pipeBooking      = "booking"
)

const answerTokens = 16

// Domains returns the demo's failure domains.
func Domains() []string {
	return []string{"centro-1", "centro-2", "centro-3"}
}

// Accounts returns the names of the demo's client accounts.
func Accounts() []string {
	return []string{"ring-irapuato", "ring-celaya", "salon-praha", "salon-brno"}
}

// TokenOf returns the token of a client account of the demo: "token-" followed by the name of the account.
func TokenOf(account string) string {
	return "token-" + account
}

// StandSettings returns the settings of the stand-ins of the demo. The seed determines their random behavior.
func StandSettings(seed uint64) stand.Settings {
	s := stand.Settings{
		Control: anyPort,
		Seed:    seed,
		Platform: &stand.Platform{
			Addr:   anyPort,
			Writes: 400,
			Reads:  2000,
		},
	}
	for _, d := range Domains() {
		s.Groups = append(s.Groups,
			group("encoders", d, 1, 16, 4*time.Millisecond),
			group("retrievers", d, 1, 16, 8*time.Millisecond),
			group("rerankers", d, 1, 16, 6*time.Millisecond),
			group("bookings", d, 1, 16, 10*time.Millisecond),
			engineGroup(d))
	}
	return s
}

func group(pool, domain string, count, slots int, service time.Duration) stand.Group {
	return stand.Group{
		Pool:    pool,
		Domain:  domain,
		Host:    loopback,
		Count:   count,
		Slots:   slots,
		Service: config.Span(service),
	}
}

func engineGroup(domain string) stand.Group {
	g := group("engines", domain, 4, 16, 40*time.Millisecond)
	g.Token = config.Span(6 * time.Millisecond)
	g.Tokens = answerTokens
	g.LoadTime = config.Span(300 * time.Millisecond)
	g.ChecksFencing = true
	return g
}

// Document returns the demo's configuration document.
func Document() config.Document {
	d := config.Document{
		Pools: []config.Pool{
			pool("encoders", config.KindWorker, 1),
			pool("retrievers", config.KindWorker, 1),
			pool("rerankers", config.KindWorker, 2),
			pool("engines", config.KindEngine, 10),
			pool("bookings", config.KindService, 1),
		},
		Pipelines: []config.Pipeline{
			pipeline(pipeAssistant, true,
				stage(stageEncode, "encoders", true, 4*time.Millisecond),
				stage(stageRetrieve, "retrievers", true, 8*time.Millisecond),
				stage(stageRerank, "rerankers", true, 6*time.Millisecond),
				stage(stageGenerate, "engines", true, 150*time.Millisecond)),
			pipeline(pipeSummary, true,
				stage(stageEncode, "encoders", true, 4*time.Millisecond),
				stage(stageGenerate, "engines", true, 150*time.Millisecond)),
			pipeline(pipeAvailability, true,
				stage(stageCheck, "bookings", true, 10*time.Millisecond)),
			pipeline(pipeBooking, false,
				stage(stageRetrieve, "retrievers", true, 8*time.Millisecond),
				stage(stageBook, "bookings", false, 10*time.Millisecond)),
		},
		Objective: config.Objective{
			Attainment: 0.995,
		},
	}
	for _, a := range Accounts() {
		d.Accounts = append(d.Accounts, config.Account{
			Name:          a,
			KeySHA256:     config.HashToken(TokenOf(a)),
			Weight:        1,
			RatePerSecond: 1000,
		})
	}
	return d
}

func pool(name string, kind config.Kind, cost float64) config.Pool {
	return config.Pool{
		Name:          name,
		Kind:          kind,
		Slots:         16,
		CostPerSecond: cost,
		Silence:       config.Span(time.Second),
	}
}

func pipeline(name string, idempotent bool, stages ...config.Stage) config.Pipeline {
	return config.Pipeline{
		Name:       name,
		Deadline:   config.Span(8 * time.Second),
		Idempotent: idempotent,
		MaxTokens:  answerTokens,
		Stages:     stages,
	}
}

func stage(name, pool string, idempotent bool, expected time.Duration) config.Stage {
	return config.Stage{
		Name:       name,
		Pool:       pool,
		Idempotent: idempotent,
		Expected:   config.Span(expected),
	}
}

func daemonSettings(name, domain, platform string, seeds []string) setup.Settings {
	s := setup.Defaults()
	s.Host = setup.Host{
		Name:   name,
		Domain: domain,
	}
	s.Listen = setup.Listen{
		Callers:   anyPort,
		Operators: anyPort,
		Peers:     anyPort,
	}
	s.Platform.URL = platform
	s.Peers.Seeds = seeds
	s.Peers.Every = config.Span(200 * time.Millisecond)
	s.Limits.DrainWait = config.Span(500 * time.Millisecond)
	s.Limits.BodyTimeout = config.Span(time.Second)
	s.Operators = []setup.Operator{
		{
			Name:      "demo",
			KeySHA256: config.HashToken(OperatorToken),
			Role:      setup.Approver,
		},
	}
	return s
}
