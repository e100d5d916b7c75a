package org.mangowall.command.change;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.command.CommandContext;
import org.mangowall.command.client.OperatorClient;
import org.mangowall.command.client.RouterStatus;
import org.mangowall.command.output.ExitCode;
import org.mangowall.command.output.Json;
import org.mangowall.command.output.Report;

/** Polls the named routers until all of them have a configuration version in force or the wait time ends. */
public final class RolloutChecker {

    private final OperatorClient client;
    private final Clock clock;
    private final Runnable pause;

    /** Creates a checker that uses the client, clock and pause of the context. */
    public RolloutChecker(CommandContext context) {
        this.client = context.client();
        this.clock = context.clock();
        this.pause = context.pause();
    }

    /** Waits until the change is in force and reports the result; a wait of zero reports at once. */
    public Report report(WriteResult change, Duration wait) {
        ObjectNode json = Json.object().put("version", change.version());
        json.set("plan", change.plan().toJson());
        String resultText = change.plan().toText() + acceptanceText(change);
        if (wait.isZero()) {
            return Report.success(resultText, json);
        }
        List<String> outdatedRouters = waitForRollout(change.version(), wait);
        outdatedRouters.forEach(json.withArray("not_in_force")::add);
        if (outdatedRouters.isEmpty()) {
            return Report.success(resultText + "\nIn force on all named routers.", json);
        }
        String text = resultText + "\nNot seen in force on:\n  " + String.join("\n  ", outdatedRouters);
        return new Report(ExitCode.NOT_IN_FORCE_YET, text, json);
    }

    private static String acceptanceText(WriteResult change) {
        return change.plan().isEmpty() ? "" : "\nAccepted as version " + change.version() + ".";
    }

    private List<String> waitForRollout(long version, Duration wait) {
        Instant deadline = clock.instant().plus(wait);
        List<String> outdatedRouters = outdatedRouters(version);
        while (!outdatedRouters.isEmpty() && clock.instant().isBefore(deadline)) {
            pause.run();
            outdatedRouters = outdatedRouters(version);
        }
        return outdatedRouters;
    }

    private List<String> outdatedRouters(long version) {
        List<String> outdatedRouters = new ArrayList<>();
        for (RouterStatus status : client.status()) {
            switch (status) {
                case RouterStatus.Available available -> {
                    long currentVersion = available.document().configurationVersion();
                    if (currentVersion < version) {
                        outdatedRouters.add(available.document().router() + " at " + available.address() + ": version "
                                + currentVersion);
                    }
                }
                case RouterStatus.Unavailable unavailable ->
                    outdatedRouters.add(unavailable.failure().getMessage());
            }
        }
        return outdatedRouters;
    }
}
