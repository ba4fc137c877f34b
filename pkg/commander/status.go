package commander

import (
	"strconv"
	"strings"
	"sync"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// askedAtOnce bounds the hosts that are asked at the same moment.
const askedAtOnce = 16

func addStatusCommands(parent *flags.Command, common commonOptions) {
	remote := remoteOptions{commonOptions: common}
	addCommand(parent, "hosts", "List all hosts, each by its own account",
		"Asks every host that the given one knows. Exit code 1 when one of them does not answer.",
		&hostsCommand{remoteOptions: remote})
	addCommand(parent, "members", "List the membership as one host sees it",
		"Lists what the given host believes of the others.", &membersCommand{remoteOptions: remote})
	addCommand(parent, "backend-servers", "List the backend servers",
		"Lists the backend servers of all failure domains, each as the lead of its cell sees it.",
		&backendServersCommand{remoteOptions: remote})
	addCommand(parent, "explain", "Tell what was decided about a submission",
		"Lists each step of a submission: where its tasks went, what was refused, repeated or lost, and its end. The hosts keep the newest steps only.",
		&explainCommand{remoteOptions: remote})
	addCommand(parent, "top", "Show hosts, teams and response times, again and again",
		"Asks every host that the given one knows and shows their work. A terminal is refreshed until it is interrupted; a pipe gets one list, each line with its kind first.",
		&topCommand{remoteOptions: remote})
	addCommand(parent, "keepers", "List the keepers and their log",
		"Asks every keeper for its state. Exit code 1 when one of them does not answer or has halted.",
		&keepersCommand{remoteOptions: remote})
}

// hostAnswer is what one host says of itself, and what the first host believes of
// it.
type hostAnswer struct {
	Host          identifier.HostID        `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	Believed      gossiper.Status          `json:"believed"`
	Callers       string                   `json:"callers-address"`
	// Status is nil for a host that did not answer; Error says why.
	Status *coordinator.Status `json:"status"`
	Error  string              `json:"error,omitempty"`
}

func (answer *hostAnswer) lost() bool { return answer.Believed >= gossiper.StatusDead }

// askAll asks the given host and every host that it knows.
func (options *remoteOptions) askAll() ([]*hostAnswer, error) {
	ctx, cancel := options.quickly()
	defer cancel()
	first, err := options.requester().Status(ctx)
	if err != nil {
		return nil, remoteFailure(err)
	}
	answers := []*hostAnswer{{
		Host: first.Host, FailureDomain: first.FailureDomain,
		Believed: gossiper.StatusAlive, Callers: first.Callers, Status: first,
	}}
	for _, host := range first.Hosts {
		answers = append(answers, &hostAnswer{
			Host: host.Host, FailureDomain: host.FailureDomain, Believed: host.Status, Callers: host.Callers,
		})
	}
	options.askOthers(answers[1:])
	return answers, nil
}

func (options *remoteOptions) askOthers(answers []*hostAnswer) {
	permits := make(chan struct{}, askedAtOnce)
	var group sync.WaitGroup
	for _, answer := range answers {
		group.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			options.ask(answer)
		})
	}
	group.Wait()
}

func (options *remoteOptions) ask(answer *hostAnswer) {
	ctx, cancel := options.quickly()
	defer cancel()
	status, err := options.requesterOf(answer.Callers).Status(ctx)
	if err != nil {
		answer.Error = err.Error()
		return
	}
	answer.Status = status
}

// silentHosts fails when a host that counts as living did not answer.
func silentHosts(answers []*hostAnswer) error {
	var silent []string
	for _, answer := range answers {
		if answer.Status == nil && !answer.lost() {
			silent = append(silent, string(answer.Host))
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return failed("no answer from %s", strings.Join(silent, ", "))
}

func joined[T interface{ String() string }](values []T) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, value.String())
	}
	return strings.Join(texts, ",")
}

func number[T ~int | ~uint64](value T) string { return strconv.FormatInt(int64(value), 10) }
