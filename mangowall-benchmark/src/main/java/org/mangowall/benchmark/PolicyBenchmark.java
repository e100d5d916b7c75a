package org.mangowall.benchmark;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Compares scheduling policies under the same seeded load; prints a table or JSON lines. */
public final class PolicyBenchmark {

    private static final int USAGE_EXIT_CODE = 2;
    private static final String HEADING = "%-18s %6s %7s %9s %9s %7s %9s %6s %8s %8s %7s %9s %10s %10s %10s %8s%n";
    private static final String LINE =
            "%-18s %6d %7.4f %9.1f %9.1f %7d %9d %6d %8d %8d %7d %9.1f %10.0f %10.0f %10.0f %8.1f%n";

    private PolicyBenchmark() {}

    /** Runs the benchmark. */
    public static void main(String[] commandLine) throws JsonProcessingException {
        BenchmarkArguments arguments = new BenchmarkArguments();
        JCommander commander = JCommander.newBuilder()
                .addObject(arguments)
                .programName("policy-benchmark")
                .build();
        try {
            commander.parse(commandLine);
        } catch (ParameterException failure) {
            System.err.println(failure.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
        if (arguments.isHelp()) {
            commander.usage();
            return;
        }
        printHeading(arguments);
        for (long seed : arguments.seeds()) {
            for (String policy : arguments.policies()) {
                print(arguments, new PolicyRun(arguments, policy, seed).run());
            }
        }
    }

    private static void printHeading(BenchmarkArguments arguments) {
        if (arguments.isJson()) {
            return;
        }
        System.out.printf(
                HEADING,
                "policy",
                "seed",
                "utilis.",
                "gap",
                "bound",
                "broken",
                "overloads",
                "falls",
                "served",
                "refused",
                "failed",
                "pulled/s",
                "mean B/s",
                "most B/s",
                "events/s",
                "heap MB");
    }

    private static void print(BenchmarkArguments arguments, BenchmarkResult result) throws JsonProcessingException {
        if (arguments.isJson()) {
            System.out.println(new ObjectMapper().writeValueAsString(result));
            return;
        }
        System.out.printf(
                LINE,
                result.policy(),
                result.seed(),
                result.utilisation(),
                result.largestGap(),
                result.smallestBound(),
                result.boundBroken(),
                result.overloads(),
                result.falls(),
                result.served(),
                result.refused(),
                result.failed(),
                result.pulledPerSecond(),
                result.exchangeBytesPerSecond(),
                result.mostExchangeBytesPerSecond(),
                result.eventsPerSecondOfProcessor(),
                result.heapMegabytes());
    }
}
