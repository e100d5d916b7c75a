package org.mangowall.router.runner;

import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.EventLoopGroup;
import io.netty.util.HashedWheelTimer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.plugin.PluginRegistry;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RunnerOutcome;
import org.mangowall.protocol.HeaderField;
import org.mangowall.router.RunnerSettings;

/**
 * Sends requests to runners.
 *
 * <p>Requests that may be repeated use pooled connections. Those that may not get a fresh connection each: a pooled one
 * can have been closed or forgotten by something in between, and a write to it leaves the outcome unknown. Nothing is
 * ever sent again here, and no redirect is followed.
 */
public final class RunnerClient implements AutoCloseable {

    private static final Duration NO_TIMEOUT = Duration.ofMillis(-1);

    private final RunnerSettings settings;
    private final Clock clock;
    private final HashedWheelTimer timer = new HashedWheelTimer();
    private final AsyncHttpClient pooledClient;
    private final AsyncHttpClient freshClient;
    private final PluginRegistry<RunnerProtocol> protocols = PluginRegistry.load(RunnerProtocol.class);
    private final Set<RunnerCall> calls = ConcurrentHashMap.newKeySet();

    /** Creates a client that uses the given network threads. */
    public RunnerClient(RunnerSettings settings, Clock clock, EventLoopGroup eventLoops) {
        this.settings = settings;
        this.clock = clock;
        this.pooledClient = client(eventLoops, true);
        this.freshClient = client(eventLoops, false);
    }

    private AsyncHttpClient client(EventLoopGroup eventLoops, boolean keepAlive) {
        return new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(eventLoops)
                .setNettyTimer(timer)
                .setKeepAlive(keepAlive)
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
                .setHttpAdditionalChannelInitializer(
                        channel -> channel.pipeline().addFirst(new ReadGate()))
                .setRequestTimeout(NO_TIMEOUT)
                .setReadTimeout(NO_TIMEOUT)
                .build());
    }

    /** Sends a request; the listener hears of its end exactly once, whatever happens. */
    public RunnerCall send(
            Runner runner,
            Service service,
            RequestDescription description,
            RequestContent content,
            AnswerSink sink,
            RunnerCallListener listener) {
        RunnerProtocol protocol = protocols.find(service.kind().name().toLowerCase(Locale.ROOT));
        ForgettingListener forgetting = new ForgettingListener(listener);
        RunnerCall call = new RunnerCall(
                runner,
                service,
                protocol,
                sink,
                forgetting,
                clock,
                settings.connectTimeout().toMillis());
        forgetting.call = call;
        calls.add(call);
        try {
            AsyncHttpClient client = description.repeatable() ? pooledClient : freshClient;
            call.started(client.executeRequest(request(runner, description, content), call));
        } catch (RuntimeException failure) {
            call.onThrowable(failure);
        }
        return call;
    }

    private static Request request(Runner runner, RequestDescription description, RequestContent content) {
        RequestBuilder builder =
                new RequestBuilder(content.method(), true).setUrl("http://" + authority(runner) + content.path());
        for (HeaderField header : content.headers()) {
            builder.addHeader(header.name(), header.value());
        }
        builder.setHeader("x-workspace", description.workspace().value());
        builder.setHeader("x-mangowall-request", description.identifier().toString());
        if (content.body().length > 0) {
            builder.setBody(content.body());
        }
        return builder.build();
    }

    static String authority(Runner runner) {
        String host = runner.host().indexOf(':') >= 0 ? "[" + runner.host() + "]" : runner.host();
        return host + ":" + runner.port();
    }

    /** Ends all tries that have made no progress for too long. */
    public void checkProgress() {
        long now = clock.millis();
        calls.forEach(call -> call.checkProgress(now));
    }

    /** Asks a runner for its load; the client for short calls of the router itself. */
    AsyncHttpClient pooledClient() {
        return pooledClient;
    }

    @Override
    public void close() throws java.io.IOException {
        pooledClient.close();
        freshClient.close();
        timer.stop();
    }

    private final class ForgettingListener implements RunnerCallListener {

        private final RunnerCallListener next;
        private RunnerCall call;

        ForgettingListener(RunnerCallListener next) {
            this.next = next;
        }

        @Override
        public void began() {
            next.began();
        }

        @Override
        public void progressed(double costSoFar) {
            next.progressed(costSoFar);
        }

        @Override
        public void ended(RunnerOutcome outcome, double cost) {
            calls.remove(call);
            next.ended(outcome, cost);
        }
    }
}
