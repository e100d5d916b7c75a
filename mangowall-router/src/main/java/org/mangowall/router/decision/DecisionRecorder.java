package org.mangowall.router.decision;

import java.time.Clock;
import java.util.Locale;

import org.mangowall.kernel.log.ComponentLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.protocol.operator.ExplanationDocument.Decision;

/** Logs each decision on a request and adds it to the records for operators. */
final class DecisionRecorder {

    private static final ComponentLog LOG = ComponentLog.of("decision");
    private static final String NO_RUNNER = "";
    private static final int MAXIMUM_REFUSAL_LINES_PER_SECOND = 50;

    private final RouterIdentity identity;
    private final Clock clock;
    private final DecisionRecords records;
    private final RefusalLogLimiter refusalLogLimiter = new RefusalLogLimiter(MAXIMUM_REFUSAL_LINES_PER_SECOND, LOG);

    DecisionRecorder(RouterIdentity identity, Clock clock, DecisionRecords records) {
        this.identity = identity;
        this.clock = clock;
        this.records = records;
    }

    void routed(RequestDescription request, Object home, Enum<?> reason) {
        LOG.info(
                "routed request %s of workspace %s for service %s to home router %s: %s",
                request.identifier(), request.workspace(), request.service(), home, readableText(reason));
        add(request, "routed", NO_RUNNER, reason.name() + " " + home);
    }

    void sent(RequestDescription request, Object runner, Enum<?> reason) {
        LOG.info(
                "sent request %s of workspace %s for service %s to runner %s: %s",
                request.identifier(), request.workspace(), request.service(), runner, readableText(reason));
        add(request, "sent", runner.toString(), reason.name());
    }

    void released(RequestDescription request, Enum<?> reason) {
        LOG.info(
                "released request %s of workspace %s for service %s to its entry router: %s",
                request.identifier(), request.workspace(), request.service(), readableText(reason));
        add(request, "released", NO_RUNNER, reason.name());
    }

    void refused(RequestIdentifier request, String code) {
        if (refusalLogLimiter.tryAcquire(clock.millis())) {
            LOG.info("refused request %s: %s", request, code);
        }
        records.add(request, new Decision(clock.millis(), identity.name().value(), "refused", "", "", NO_RUNNER, code));
    }

    private void add(RequestDescription request, String step, String runner, String reason) {
        records.add(
                request.identifier(),
                new Decision(
                        clock.millis(),
                        identity.name().value(),
                        step,
                        request.workspace().value(),
                        request.service().value(),
                        runner,
                        reason));
    }

    private static String readableText(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
