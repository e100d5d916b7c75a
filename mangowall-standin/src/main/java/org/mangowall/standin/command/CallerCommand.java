package org.mangowall.standin.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.standin.caller.LoadRun;
import org.mangowall.standin.caller.LoadSettings;
import org.mangowall.standin.caller.LoadSettingsReader;
import org.mangowall.standin.http.Json;

/** Runs a load test and writes the report. */
@Parameters(commandDescription = "Generate load, check every response and compare with the ledgers; the report is JSON")
final class CallerCommand implements StandInCommand {

    @Parameter(names = "--settings", required = true, description = "The settings file in TOML")
    private String settings;

    @Parameter(names = "--seed", description = "The seed; overrides that of the settings")
    private Long seed;

    @Parameter(names = "--seconds", description = "The measurement time in seconds; overrides that of the settings")
    private Integer seconds;

    @Parameter(names = "--report", description = "The file for the report; standard output when absent")
    private String report;

    @Override
    public int run() {
        LoadSettings read = LoadSettingsReader.read(Path.of(settings));
        LoadSettings run = read.withSeedAndDuration(
                seed == null ? read.seed() : seed, seconds == null ? read.duration() : Duration.ofSeconds(seconds));
        byte[] document = Json.writePretty(LoadRun.run(run));
        write(document);
        return isClean(Json.read(document)) ? ExitCodes.OK : ExitCodes.FAILED;
    }

    private void write(byte[] document) {
        try {
            if (report == null) {
                System.out.write(document);
                System.out.println();
                return;
            }
            Files.write(Path.of(report), document);
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "failed to write the report", failure);
        }
    }

    private static boolean isClean(JsonNode document) {
        JsonNode ledger = document.path("ledger");
        return ledger.path("doubled").asInt() == 0
                && ledger.path("not_run_but_executed").asInt() == 0
                && document.at("/total/wrong_body").asInt() == 0;
    }
}
