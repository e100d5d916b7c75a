package org.mangowall.router.decision;

import java.time.Clock;
import java.util.Locale;

import org.mangowall.kernel.log.PartLog;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.policy.RequestDescription;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.protocol.operator.ExplanationDocument.Decision;

/** Writes a log line and a record for each decision on a request. */
final class DecisionJournal {

    private static final PartLog LOG = PartLog.of("decision");
    private static final String NO_RUNNER = "";
    private static final int REFUSAL_LINES_PER_SECOND = 50;

    private final RouterIdentity identity;
    private final Clock clock;
    private final DecisionRecords records;
    private final RepeatBound refusalLines = new RepeatBound(REFUSAL_LINES_PER_SECOND, LOG);

    DecisionJournal(RouterIdentity identity, Clock clock, DecisionRecords records) {
        this.identity = identity;
        this.clock = clock;
        this.records = records;
    }

    void routed(RequestDescription request, Object home, Enum<?> reason) {
        LOG.info(
                "request %s of %s for %s goes to home %s: %s",
                request.identifier(), request.workspace(), request.service(), home, sentence(reason));
        add(request, "routed", NO_RUNNER, reason.name() + " " + home);
    }

    void sent(RequestDescription request, Object runner, Enum<?> reason) {
        LOG.info(
                "request %s of %s for %s goes to runner %s: %s",
                request.identifier(), request.workspace(), request.service(), runner, sentence(reason));
        add(request, "sent", runner.toString(), reason.name());
    }

    void released(RequestDescription request, Enum<?> reason) {
        LOG.info(
                "request %s of %s for %s goes back to its entry: %s",
                request.identifier(), request.workspace(), request.service(), sentence(reason));
        add(request, "released", NO_RUNNER, reason.name());
    }

    void refused(RequestIdentifier request, String code) {
        if (refusalLines.allows(clock.millis())) {
            LOG.info("request %s is refused: %s", request, code);
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

    private static String sentence(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
