package org.mangowall.standin.caller;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/** Counts and latencies of call attempts. */
final class AttemptStatistics {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
    private final Map<String, Long> codes = new TreeMap<>();
    private final Histogram firstByteMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram totalMicros = new Histogram(SIGNIFICANT_DIGITS);

    void add(AttemptResult result) {
        verdicts.merge(result.verdict(), 1L, Long::sum);
        if (result.verdict() == Verdict.ANSWERED) {
            firstByteMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(result.firstByteNanos()));
            totalMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(result.totalNanos()));
            return;
        }
        codes.merge(result.code(), 1L, Long::sum);
    }

    void addAll(AttemptStatistics other) {
        other.verdicts.forEach((verdict, count) -> verdicts.merge(verdict, count, Long::sum));
        other.codes.forEach((code, count) -> codes.merge(code, count, Long::sum));
        firstByteMicros.add(other.firstByteMicros);
        totalMicros.add(other.totalMicros);
    }

    long count(Verdict verdict) {
        return verdicts.getOrDefault(verdict, 0L);
    }

    Map<String, Object> toDocument() {
        Map<String, Object> document = new LinkedHashMap<>();
        for (Verdict verdict : Verdict.values()) {
            document.put(verdict.name().toLowerCase(Locale.ROOT), count(verdict));
        }
        document.put("codes", codes);
        document.put("first_byte_millis", quantiles(firstByteMicros));
        document.put("whole_millis", quantiles(totalMicros));
        return document;
    }

    private static Map<String, Double> quantiles(Histogram micros) {
        Map<String, Double> document = new LinkedHashMap<>();
        document.put("p50", micros.getValueAtPercentile(50) / 1000.0);
        document.put("p95", micros.getValueAtPercentile(95) / 1000.0);
        document.put("p99", micros.getValueAtPercentile(99) / 1000.0);
        document.put("max", micros.getMaxValue() / 1000.0);
        return document;
    }
}
