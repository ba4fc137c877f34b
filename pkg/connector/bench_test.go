package connector

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

const (
	// receiversVariable is set in the process of the receivers.
	receiversVariable = "STOATHITCH_BENCH_RECEIVERS"
	// maxReceivers is the number of receivers that the process serves.
	maxReceivers = 19
	// digestsPerSecond is the number of submissions a second of one failure domain.
	digestsPerSecond = 430
)

// TestReceiverProcess is the process of the receivers of BenchmarkDigestBatches, not a test.
func TestReceiverProcess(t *testing.T) {
	if os.Getenv(receiversVariable) == "" {
		t.Skip("runs only as a part of BenchmarkDigestBatches")
	}
	for number := range maxReceivers {
		settings := loader.Defaults()
		settings.Host = receiverID(number)
		peers := newBenchmarkPeers(&settings)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := peers.NewServer()
		peerv1.RegisterPeerServer(server, peers)
		go func() { _ = server.Serve(listener) }()
		fmt.Println(listener.Addr())
	}
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		fmt.Println(processorTime(t).Microseconds())
	}
}

// BenchmarkDigestBatches reports the processor time of the connections for batches of digests of 430
// submissions a second, on loopback: at their sender and at one receiver, without the coordinators.
// One operation is one batch to each receiver.
func BenchmarkDigestBatches(b *testing.B) {
	receivers := startReceivers(b)
	peers := newBenchmarkPeers(receivers.settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peers.Run(ctx)
	for _, count := range []int{4, 9, 11, 19} {
		for _, interval := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond} {
			b.Run(fmt.Sprintf("receivers=%d/interval=%v", count, interval), func(b *testing.B) {
				send := func() {
					batch := newDigestBatch(int(digestsPerSecond * interval / time.Second))
					for number := range count {
						peers.Send(receiverID(number), batch)
					}
				}
				send()
				time.Sleep(connectTime)
				senderBefore, receiversBefore, start := processorTime(b), receivers.processorTime(b), time.Now()
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for range b.N {
					<-ticker.C
					send()
				}
				sender, received := processorTime(b)-senderBefore, receivers.processorTime(b)-receiversBefore
				seconds := time.Since(start).Seconds()
				b.ReportMetric(1000*sender.Seconds()/seconds, "sender-cpu-ms/s")
				b.ReportMetric(1000*received.Seconds()/seconds/float64(count), "receiver-cpu-ms/s")
			})
		}
	}
}

// connectTime is the time in which the first batch of each connection arrives.
const connectTime = 300 * time.Millisecond

func newBenchmarkPeers(settings *loader.Settings) *Peers {
	return &Peers{
		Common: provider.New(settings, io.Discard),
		Post:   func(context.Context, coordinator.Input) bool { return true },
	}
}

func newDigestBatch(digests int) *coordinator.PeerBatch {
	group := messenger.DigestGroup{Kind: messenger.DigestStarted}
	for number := range digests {
		group.Digests = append(group.Digests, messenger.DigestOf(identifier.SubmissionID(fmt.Sprint(number))))
	}
	batch := &messenger.DigestBatch{Home: "leuven", Groups: []messenger.DigestGroup{group}}
	return &coordinator.PeerBatch{Messages: []coordinator.PeerMessage{{DigestBatch: batch}}}
}

func receiverID(number int) identifier.HostID {
	return identifier.HostID(fmt.Sprintf("receiver-%d", number))
}

// receiverProcess is the process of the receivers as the sender sees it.
type receiverProcess struct {
	settings *loader.Settings
	input    io.Writer
	output   *bufio.Reader
}

func startReceivers(b *testing.B) *receiverProcess {
	b.Helper()
	command := exec.Command(os.Args[0], "-test.run=^TestReceiverProcess$")
	command.Env = append(os.Environ(), receiversVariable+"=1")
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	settings := loader.Defaults()
	settings.Host = "sender"
	started := &receiverProcess{settings: &settings, input: input, output: bufio.NewReader(output)}
	for number := range maxReceivers {
		var address string
		if _, err := fmt.Fscanln(started.output, &address); err != nil {
			b.Fatal(err)
		}
		host := loader.Host{Host: receiverID(number), PeersAddress: netip.MustParseAddrPort(address)}
		settings.Hosts = append(settings.Hosts, host)
	}
	return started
}

// processorTime returns the processor time that the receivers have used together.
func (process *receiverProcess) processorTime(b *testing.B) time.Duration {
	b.Helper()
	var microseconds int64
	if _, err := fmt.Fprintln(process.input, "read"); err != nil {
		b.Fatal(err)
	}
	if _, err := fmt.Fscanln(process.output, &microseconds); err != nil {
		b.Fatal(err)
	}
	return time.Duration(microseconds) * time.Microsecond
}

// processorTime returns the user and system time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
