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

/** The configuration as operators read and write it: accepted means that the platform confirmed it. */
final class OperatorConfiguration implements ConfigurationAccess {

    static final ObjectName INVENTORY = new ObjectName("configuration", "inventory");

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);
    private static final int WRITE_TRIES = 10;

    private final ControlContext context;
    private final FleetDuty fleet;

    OperatorConfiguration(ControlContext context, FleetDuty fleet) {
        this.context = context;
        this.fleet = fleet;
    }

    /** The platform's document, or the one in force here when the platform does not answer. */
    @Override
    public CompletableFuture<Optional<VersionedObject>> current() {
        return context.platform()
                .read(INVENTORY)
                .exceptionally(failure -> fleet.currentConfiguration()
                        .map(content -> new VersionedObject(content.version(), content.document())));
    }

    @Override
    public CompletableFuture<Long> write(long expectedVersion, byte[] document) {
        Backoff backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, context.seed() + expectedVersion);
        ConditionalWriter writer = new ConditionalWriter(context.platform(), OperatorConfiguration::delay, WRITE_TRIES);
        return writer.write(INVENTORY, expectedVersion, document, backoff).thenApply(version -> {
            fleet.written(new ConfigurationContent(version, document));
            return version;
        });
    }

    private static CompletableFuture<Void> delay(Duration time) {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(time.toMillis(), TimeUnit.MILLISECONDS));
    }
}
