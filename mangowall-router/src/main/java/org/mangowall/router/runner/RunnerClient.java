package org.mangowall.router.runner;

import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.util.HashedWheelTimer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.channel.KeepAliveStrategy;
import org.mangowall.http.StrictHttpClients;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.http.StrayPlace;
import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.protocol.HeaderField;
import org.mangowall.router.RunnerSettings;
import org.mangowall.router.metrics.RouterMetrics;

/**
 * Sends requests to runners over HTTP.
 *
 * <p>Repeatable requests use pooled connections. Each other request gets a new connection: the runner or a middlebox
 * may have dropped a pooled one, and a write to it would leave the outcome unknown. The client neither retries nor
 * follows redirects.
 */
public final class RunnerClient implements AutoCloseable {

    private static final ComponentLog LOG = ComponentLog.of("runner");
    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    private final RunnerSettings settings;
    private final Clock clock;
    private final RouterMetrics metrics;
    private final HashedWheelTimer timer = new HashedWheelTimer();
    private final AsyncHttpClient callClient;
    private final AsyncHttpClient pollClient;
    private final AsyncHttpClient unpooledClient;
    private final PluginRegistry<RunnerProtocol> protocols = PluginRegistry.load(RunnerProtocol.class);
    private final Set<RunnerCall> calls = ConcurrentHashMap.newKeySet();

    /** Creates a client on the given event loops. */
    public RunnerClient(RunnerSettings settings, Clock clock, RouterMetrics metrics, EventLoopGroup eventLoops) {
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.callClient = createClient(eventLoops, new IdentifiedAnswerKeepAliveStrategy());
        this.pollClient = createClient(eventLoops, new IdentifiedAnswerKeepAliveStrategy());
        this.unpooledClient = createClient(eventLoops, (address, request, sentRequest, response) -> false);
    }

    private AsyncHttpClient createClient(EventLoopGroup eventLoops, KeepAliveStrategy keepAlive) {
        return new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(eventLoops)
                .setNettyTimer(timer)
                .setKeepAliveStrategy(keepAlive)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setUserAgent("mangowall")
                .setEnableAutomaticDecompression(false)
                .setKeepEncodingHeader(true)
                .setDisableUrlEncodingForBoundRequests(true)
                .setUseProxyProperties(false)
                .setUseProxySelector(false)
                .setTcpNoDelay(true)
                .setConnectTimeout(settings.connectTimeout())
                .setPooledConnectionIdleTimeout(settings.pooledIdleTimeout())
                .setHttpAdditionalChannelInitializer(this::initialize)
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .build());
    }

    private void initialize(Channel channel) {
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.pipeline().addFirst(new ReadPauseHandler());
        StrictHttpClients.replaceCodec(channel, new RunnerCodec(place -> strayBytesReceived(channel, place)));
    }

    private void strayBytesReceived(Channel channel, StrayPlace place) {
        metrics.strayBytesReceived(place.label());
        LOG.warn("%s sent bytes that belong to no response: %s", channel.remoteAddress(), place.label());
    }

    /** Sends a request; {@link RunnerCallListener#ended} is called exactly once, also when sending fails. */
    public RunnerCall send(
            Runner runner,
            Service service,
            RequestDescription description,
            RequestContent content,
            AnswerSink sink,
            RunnerCallListener listener) {
        RunnerProtocol protocol = protocols.find(service.kind().name().toLowerCase(Locale.ROOT));
        DeregisteringListener deregistering = new DeregisteringListener(listener);
        RunnerCall call = new RunnerCall(
                runner,
                service,
                protocol,
                description.identifier().toString(),
                sink,
                deregistering,
                clock,
                settings.connectTimeout().toMillis());
        deregistering.call = call;
        calls.add(call);
        try {
            AsyncHttpClient client = description.repeatable() ? callClient : unpooledClient;
            call.setFuture(client.executeRequest(buildRequest(runner, description, content), call));
        } catch (RuntimeException failure) {
            call.onThrowable(failure);
        }
        return call;
    }

    private static Request buildRequest(Runner runner, RequestDescription description, RequestContent content) {
        RequestBuilder builder =
                new RequestBuilder(content.method(), true).setUrl("http://" + authority(runner) + content.path());
        for (HeaderField header : content.headers()) {
            builder.addHeader(header.name(), header.value());
        }
        builder.setHeader("x-workspace", description.workspace().value());
        builder.setHeader(
                IdentifiedAnswerKeepAliveStrategy.REQUEST_HEADER,
                description.identifier().toString());
        if (content.body().length > 0) {
            builder.setBody(content.body());
        }
        return builder.build();
    }

    static String authority(Runner runner) {
        String host = runner.host().indexOf(':') >= 0 ? "[" + runner.host() + "]" : runner.host();
        return host + ":" + runner.port();
    }

    /** Aborts all attempts that have made no progress within their timeout. */
    public void checkProgress() {
        long now = clock.millis();
        calls.forEach(call -> call.checkProgress(now));
    }

    /** Returns the HTTP client for calls of the router itself, such as load polls; they have their own connections. */
    AsyncHttpClient pollClient() {
        return pollClient;
    }

    @Override
    public void close() throws java.io.IOException {
        callClient.close();
        pollClient.close();
        unpooledClient.close();
        timer.stop();
    }

    private final class DeregisteringListener implements RunnerCallListener {

        private final RunnerCallListener next;
        private RunnerCall call;

        DeregisteringListener(RunnerCallListener next) {
            this.next = next;
        }

        @Override
        public void answerBegan() {
            next.answerBegan();
        }

        @Override
        public void costIncreased(double costSoFar) {
            next.costIncreased(costSoFar);
        }

        @Override
        public void ended(RunnerOutcome outcome, double cost) {
            calls.remove(call);
            next.ended(outcome, cost);
        }
    }
}
