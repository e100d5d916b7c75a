package org.mangowall.inventory.checked;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations, sizes and addresses in the syntax of settings. */
public final class UnitSyntax {

    private static final Pattern QUANTITY = Pattern.compile("([0-9]{1,15})([A-Za-z]+)");
    private static final Pattern IPV4_ADDRESS = Pattern.compile("([0-9]{1,3})(\\.[0-9]{1,3}){3}");
    private static final Pattern IPV6_ADDRESS = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_OCTET = 255;
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final long MILLISECONDS_PER_MINUTE = 60_000;
    private static final long MILLISECONDS_PER_HOUR = 3_600_000;
    private static final Map<String, Long> DURATION_UNITS = Map.of(
            "ms",
            1L,
            "s",
            MILLISECONDS_PER_SECOND,
            "m",
            MILLISECONDS_PER_MINUTE,
            "h",
            MILLISECONDS_PER_HOUR,
            "d",
            86_400_000L);
    private static final Map<String, Long> SIZE_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private UnitSyntax() {}

    /** Parses a duration such as {@code 250ms}, {@code 30s}, {@code 5m}, {@code 2h} or {@code 1d}. */
    public static Optional<Duration> parseDuration(String text) {
        return parseQuantity(text, DURATION_UNITS).map(Duration::ofMillis);
    }

    /** Parses a size such as {@code 512B}, {@code 64KiB}, {@code 8MiB} or {@code 1GiB}. */
    public static Optional<Long> parseBytes(String text) {
        return parseQuantity(text, SIZE_UNITS);
    }

    /** Parses an address such as {@code 127.0.0.1:8080} or {@code [::1]:8080}; host names are not accepted. */
    public static Optional<HostAndPort> parseAddress(String text) {
        int separator = text.lastIndexOf(':');
        if (separator < 1) {
            return Optional.empty();
        }
        Optional<String> host = parseHost(text.substring(0, separator));
        Optional<Integer> port = parsePort(text.substring(separator + 1));
        if (host.isEmpty() || port.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new HostAndPort(host.get(), port.get()));
    }

    /** Formats a duration in the largest of the units ms, s, m and h that divides it evenly. */
    public static String formatDuration(Duration duration) {
        long milliseconds = duration.toMillis();
        if (milliseconds == 0 || milliseconds % MILLISECONDS_PER_SECOND != 0) {
            return milliseconds + "ms";
        }
        if (milliseconds % MILLISECONDS_PER_HOUR == 0) {
            return milliseconds / MILLISECONDS_PER_HOUR + "h";
        }
        if (milliseconds % MILLISECONDS_PER_MINUTE == 0) {
            return milliseconds / MILLISECONDS_PER_MINUTE + "m";
        }
        return milliseconds / MILLISECONDS_PER_SECOND + "s";
    }

    /** Formats a size in the largest unit that divides it evenly. */
    public static String formatBytes(long bytes) {
        for (String unit : new String[] {"GiB", "MiB", "KiB"}) {
            long factor = SIZE_UNITS.get(unit);
            if (bytes != 0 && bytes % factor == 0) {
                return bytes / factor + unit;
            }
        }
        return bytes + "B";
    }

    private static Optional<Long> parseQuantity(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        try {
            return Optional.of(Math.multiplyExact(Long.parseLong(matcher.group(1)), units.get(matcher.group(2))));
        } catch (ArithmeticException overflow) {
            return Optional.empty();
        }
    }

    private static Optional<String> parseHost(String text) {
        if (text.startsWith("[") && text.endsWith("]")) {
            String host = text.substring(1, text.length() - 1);
            return IPV6_ADDRESS.matcher(host).matches() ? Optional.of(host) : Optional.empty();
        }
        if (!IPV4_ADDRESS.matcher(text).matches()) {
            return Optional.empty();
        }
        for (String octet : text.split("\\.")) {
            if (Integer.parseInt(octet) > MAXIMUM_OCTET) {
                return Optional.empty();
            }
        }
        return Optional.of(text);
    }

    private static Optional<Integer> parsePort(String text) {
        if (!text.matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text);
        return port <= MAXIMUM_PORT ? Optional.of(port) : Optional.empty();
    }
}
