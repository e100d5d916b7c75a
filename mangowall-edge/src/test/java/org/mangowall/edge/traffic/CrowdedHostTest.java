package org.mangowall.edge.traffic;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.LoadEvent;
import org.mangowall.edge.log.DecisionLog;
import org.mangowall.edge.log.EdgeMetrics;
import org.mangowall.edge.log.TrafficMeter;
import org.mangowall.edge.model.CallerLimits;
import org.mangowall.edge.model.RequestKind;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;
import org.mangowall.edge.model.ServiceDescription;
import org.mangowall.edge.model.WeightedService;
import org.mangowall.edge.overload.HeldMemory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that wait for a host's processor longer than a response is of use to their callers. */
@Timeout(60)
class CrowdedHostTest {

    private static final long WINDOW_NANOS = 4_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final Duration GOAL = Duration.ofMillis(600);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** What the work on one request costs; the clock stands still otherwise. */
    private static final long COST_NANOS = 50 * MILLI;

    private static final int REQUESTS_IN_A_TURN = 16;
    private static final int REQUESTS = 400;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong();
    private final List<LoadEvent> events = new CopyOnWriteArrayList<>();
    private final List<Long> placedAtNanos = new CopyOnWriteArrayList<>();
    private final EdgeMetrics metrics = new EdgeMetrics();
    private final CountDownLatch loopMayGoOn = new CountDownLatch(1);
    private final List<Socket> callers = new ArrayList<>();
    private ServerSocket runner;
    private DecisionLog log;
    private InetSocketAddress host;

    @BeforeEach
    void start() throws IOException {
        runner = new ServerSocket(0, 2 * REQUESTS, InetAddress.getLoopbackAddress());
        log = new DecisionLog(OutputStream.nullOutputStream(), Clock.systemUTC(), "h");
        FleetLoad fleet = new FleetLoad("h", WINDOW_NANOS);
        EdgeContext context = new EdgeContext(
                new PlainMessages(),
                fleet,
                new EdgeBounds(1, 1, WINDOW_NANOS, WINDOW_NANOS),
                new HeldMemory(Integer.MAX_VALUE),
                log,
                metrics,
                new TrafficMeter(),
                group.next(),
                now::get,
                () -> 0,
                this::published,
                () -> 0,
                "a");
        Route streams = new Route(
                "streams",
                "shop",
                "/streams/",
                RequestKind.STREAM,
                List.of(new WeightedService("plain", 1)),
                TIMEOUT,
                GOAL,
                TIMEOUT,
                0,
                1,
                false);
        context.install(new RouteTable(
                1,
                List.of(streams),
                List.of(new ServiceDescription("plain", 10 * REQUESTS, Duration.ZERO, 0, Optional.empty())),
                true,
                Map.of("large-key", "large", "small-key", "small"),
                CallerLimits.DEFAULT,
                0));
        fleet.installRunner(
                new RunnerEntry(
                        "r",
                        0,
                        "plain",
                        "v1",
                        (InetSocketAddress) runner.getLocalSocketAddress(),
                        "a",
                        10 * REQUESTS,
                        false,
                        Duration.ZERO),
                0);
        host = (InetSocketAddress) AcceptOptions.applyTo(new ServerBootstrap()
                        .group(group, group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new CallerConnections(context, new RunnerConnections(context))))
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel()
                .localAddress();
        group.next().execute(this::awaitPermission);
    }

    @AfterEach
    void end() throws IOException {
        loopMayGoOn.countDown();
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        runner.close();
        log.close();
    }

    private void published(LoadEvent event) {
        events.add(event);
        if (event instanceof LoadEvent.Sent) {
            placedAtNanos.add(now.getAndAdd(COST_NANOS));
        }
    }

    private void awaitPermission() {
        try {
            loopMayGoOn.await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket sendRequest(String workspace) throws IOException {
        Socket socket = new Socket(host.getAddress(), host.getPort());
        callers.add(socket);
        socket.getOutputStream()
                .write(("POST /streams/ HTTP/1.1\r\nHost: shop\r\nAuthorization: " + workspace
                                + "-key\r\nContent-Length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private long ended() {
        return (long) new String(metrics.text(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("mangowall_answers_total"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    /** Waits until each request was placed or has ended. A task for the loop would let it skip the reads of a turn. */
    private void awaitDecisions(int count) {
        while (placedAtNanos.size() + ended() < count) {
            Thread.onSpinWait();
        }
    }

    private void sendRequests(int count) throws IOException {
        for (int request = 0; request < count; request++) {
            sendRequest("large");
        }
    }

    /** More requests arrive at once than the host can work on within their goal; the rest is refused at once. */
    @Test
    void noRequestWaitsForTheProcessorLongerThanItIsOfUse() throws Exception {
        sendRequests(REQUESTS_IN_A_TURN);
        loopMayGoOn.countDown();
        awaitDecisions(REQUESTS_IN_A_TURN);
        assertPlacedInTime();
    }

    /** More connections wait to be accepted than a loop accepts in a turn by default. */
    @Test
    void noRequestWaitsInTheBacklogLongerThanItIsOfUse() throws Exception {
        sendRequests(REQUESTS);
        loopMayGoOn.countDown();
        awaitDecisions(REQUESTS);
        assertPlacedInTime();
    }

    private void assertPlacedInTime() {
        long longestMillis =
                placedAtNanos.stream().mapToLong(Long::longValue).max().orElse(0) / MILLI;
        assertTrue(longestMillis <= GOAL.toMillis(), "a request was placed after " + longestMillis + " ms");
        assertTrue(placedAtNanos.size() >= 6, "only " + placedAtNanos.size() + " requests were placed");
    }

    /** A workspace that floods the host delays its own requests, not those of others. */
    @Test
    void aSmallWorkspaceIsServedInTimeAtAHostThatAnotherOneFloods() throws Exception {
        sendRequests(REQUESTS_IN_A_TURN - 1);
        sendRequest("small");
        loopMayGoOn.countDown();
        awaitDecisions(REQUESTS_IN_A_TURN);
        List<Optional<String>> workspaces = events.stream()
                .filter(LoadEvent.Sent.class::isInstance)
                .map(event -> ((LoadEvent.Sent) event).workspace())
                .toList();
        int position = workspaces.indexOf(Optional.of("small"));
        assertTrue(position >= 0 && position < 4, "the small workspace was served as number " + position);
    }

    /** What callers gave up before it was placed is known to all hosts as asked, like what placement refuses. */
    @Test
    void whatWasNeverPlacedCountsAsAsked() throws Exception {
        sendRequests(REQUESTS_IN_A_TURN);
        for (Socket caller : callers) {
            caller.close();
        }
        loopMayGoOn.countDown();
        awaitDecisions(REQUESTS_IN_A_TURN);
        assertEquals(List.of(), placedAtNanos);
        assertEquals(
                REQUESTS_IN_A_TURN,
                events.stream().filter(LoadEvent.TurnedAway.class::isInstance).count());
    }
}
