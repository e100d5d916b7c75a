package org.mangowall.router.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mangowall.membership.configuration.ConfigurationContent;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.VersionedObject;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.platform.retry.ConditionalWriter;
import org.mangowall.router.spi.ConfigurationAccess;
import org.mangowall.router.spi.ControlContext;

/** Reads and writes the configuration for operators; a write succeeds only after the platform has confirmed it. */
final class OperatorConfiguration implements ConfigurationAccess {

    static final ObjectName INVENTORY_OBJECT = new ObjectName("configuration", "inventory");

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(2);
    private static final int MAXIMUM_WRITE_ATTEMPTS = 10;

    private final ControlContext context;
    private final FleetDuty fleet;

    OperatorConfiguration(ControlContext context, FleetDuty fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** Returns the platform's document, or the latest one that this router received when the platform can't be read. */
    @Override
    public CompletableFuture<Optional<VersionedObject>> current() {
        return context.platform()
                .read(INVENTORY_OBJECT)
                .exceptionally(failure -> fleet.currentConfiguration()
                        .map(content -> new VersionedObject(content.version(), content.document())));
    }

    @Override
    public CompletableFuture<Long> write(long expectedVersion, byte[] document) {
        Backoff backoff = new Backoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF, context.seed() + expectedVersion);
        ConditionalWriter writer =
                new ConditionalWriter(context.platform(), OperatorConfiguration::delay, MAXIMUM_WRITE_ATTEMPTS);
        return writer.write(INVENTORY_OBJECT, expectedVersion, document, backoff)
                .thenApply(version -> {
                    fleet.configurationWritten(new ConfigurationContent(version, document));
                    return version;
                });
    }

    private static CompletableFuture<Void> delay(Duration duration) {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS));
    }
}
