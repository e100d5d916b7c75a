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

/** Looks at the named routers until a version is in force on all of them or the wait is over. */
public final class ForceCheck {

    private final OperatorClient client;
    private final Clock clock;
    private final Runnable pause;

    /** Creates a check. */
    public ForceCheck(CommandContext context) {
        this.client = context.client();
        this.clock = context.clock();
        this.pause = context.pause();
    }

    /** Reports an accepted change after waiting for it to be in force; a wait of zero reports at once. */
    public Report report(WrittenChange change, Duration wait) {
        ObjectNode json = Json.object().put("version", change.version());
        json.set("plan", change.plan().toJson());
        String accepted = change.plan().toText() + acceptedText(change);
        if (wait.isZero()) {
            return Report.done(accepted, json);
        }
        List<String> behind = waitFor(change.version(), wait);
        behind.forEach(json.withArray("not_in_force")::add);
        if (behind.isEmpty()) {
            return Report.done(accepted + "\nIn force on all named routers.", json);
        }
        String text = accepted + "\nNot seen in force on:\n  " + String.join("\n  ", behind);
        return new Report(ExitCode.NOT_IN_FORCE_YET, text, json);
    }

    private static String acceptedText(WrittenChange change) {
        return change.plan().isEmpty() ? "" : "\nAccepted as version " + change.version() + ".";
    }

    private List<String> waitFor(long version, Duration wait) {
        Instant deadline = clock.instant().plus(wait);
        List<String> behind = behind(version);
        while (!behind.isEmpty() && clock.instant().isBefore(deadline)) {
            pause.run();
            behind = behind(version);
        }
        return behind;
    }

    private List<String> behind(long version) {
        List<String> behind = new ArrayList<>();
        for (RouterStatus status : client.status()) {
            switch (status) {
                case RouterStatus.Answered answered -> {
                    long present = answered.document().configurationVersion();
                    if (present < version) {
                        behind.add(answered.document().router() + " at " + answered.address() + ": version " + present);
                    }
                }
                case RouterStatus.Silent silent -> behind.add(silent.failure().getMessage());
            }
        }
        return behind;
    }
}
