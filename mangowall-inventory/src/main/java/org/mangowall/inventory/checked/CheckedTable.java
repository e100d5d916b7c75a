package org.mangowall.inventory.checked;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.kernel.failure.FailureCode;

/**
 * A table of a settings file that collects faults while its values are read.
 *
 * <p>A reading method never throws: where a value is missing or wrong it notes the fault and gives the default or an
 * empty value. {@link #finish} then throws one {@link SettingsException} with all faults of the whole file, keys that
 * nobody asked for included. Tables inside share the faults of the file; finishing the outermost one is enough.
 *
 * <p>Not safe for use by several threads.
 */
public final class CheckedTable {

    private static final HostAndPort NO_ADDRESS = new HostAndPort("0.0.0.0", 0);

    private final FaultCollector faults;
    private final String prefix;
    private final ObjectNode node;
    private final Set<String> askedKeys = new HashSet<>();
    private final List<CheckedTable> children = new ArrayList<>();

    private CheckedTable(FaultCollector faults, String prefix, ObjectNode node) {
        this.faults = faults;
        this.prefix = prefix;
        this.node = node;
    }

    /**
     * Reads a TOML file.
     *
     * @throws SettingsException when it can't be read or is not TOML
     */
    public static CheckedTable readToml(Path file) {
        return parseToml(file.toString(), DocumentReader.readFile(file));
    }

    /**
     * Parses TOML.
     *
     * @param sourceName the name by which faults call the text
     * @throws SettingsException when it is not TOML
     */
    public static CheckedTable parseToml(String sourceName, String text) {
        FaultCollector faults = new FaultCollector(sourceName);
        ObjectNode tree = DocumentReader.parseToml(faults, text);
        faults.throwIfAny(FailureCode.SETTINGS_INVALID);
        return new CheckedTable(faults, "", tree);
    }

    /**
     * Parses a JSON object.
     *
     * @param sourceName the name by which faults call the content
     * @throws SettingsException when it is not a JSON object
     */
    public static CheckedTable parseJson(String sourceName, byte[] content) {
        FaultCollector faults = new FaultCollector(sourceName);
        ObjectNode tree = DocumentReader.parseJson(faults, content);
        faults.throwIfAny(FailureCode.SETTINGS_INVALID);
        return new CheckedTable(faults, "", tree);
    }

    /** The name of the file or text. */
    public String sourceName() {
        return faults.source();
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        return node.has(key);
    }

    /** A text that must be there; empty after a fault. */
    public String text(String key) {
        return required(key, "a text", "", this::readText);
    }

    /** A text, or the default when there is none. */
    public String text(String key, String defaultValue) {
        return optional(key, "a text", defaultValue, this::readText);
    }

    /** A text that need not be there. */
    public Optional<String> optionalText(String key) {
        return Optional.ofNullable(text(key, null));
    }

    /** A whole number that must be there; the minimum after a fault. */
    public int integer(String key, int minimum, int maximum) {
        return required(key, integerRange(minimum, maximum), minimum, value -> readInteger(value, minimum, maximum));
    }

    /** A whole number within bounds, or the default when there is none. */
    public int integer(String key, int minimum, int maximum, int defaultValue) {
        String expected = integerRange(minimum, maximum);
        return optional(key, expected, defaultValue, value -> readInteger(value, minimum, maximum));
    }

    /** A number within bounds, or the default when there is none. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        String expected = "a number from " + minimum + " to " + maximum;
        return optional(key, expected, defaultValue, value -> readNumber(value, minimum, maximum));
    }

    /** A truth value, or the default when there is none. */
    public boolean flag(String key, boolean defaultValue) {
        return optional(key, "true or false", defaultValue, CheckedTable::readFlag);
    }

    /** A duration with its unit, such as {@code "250ms"}, or the default when there is none. */
    public Duration duration(String key, Duration minimum, Duration maximum, Duration defaultValue) {
        String expected = "a duration with unit ms, s, m, h or d, from " + UnitSyntax.formatDuration(minimum) + " to "
                + UnitSyntax.formatDuration(maximum);
        return optional(
                key,
                expected,
                defaultValue,
                value -> readText(value)
                        .flatMap(UnitSyntax::parseDuration)
                        .filter(duration -> duration.compareTo(minimum) >= 0 && duration.compareTo(maximum) <= 0));
    }

    /** A size in bytes with its unit, such as {@code "64KiB"}, or the default when there is none. */
    public long bytes(String key, long minimum, long maximum, long defaultValue) {
        String expected = "a size with unit B, KiB, MiB or GiB, from " + UnitSyntax.formatBytes(minimum) + " to "
                + UnitSyntax.formatBytes(maximum);
        return optional(
                key,
                expected,
                defaultValue,
                value -> readText(value)
                        .flatMap(UnitSyntax::parseBytes)
                        .filter(bytes -> bytes >= minimum && bytes <= maximum));
    }

    /** An address that must be there. */
    public HostAndPort address(String key) {
        return required(key, addressShape(), NO_ADDRESS, this::readAddress);
    }

    /** An address such as {@code "127.0.0.1:8080"}, or the default when there is none. */
    public HostAndPort address(String key, HostAndPort defaultValue) {
        return optional(key, addressShape(), defaultValue, this::readAddress);
    }

    /** A list of addresses; empty when there is none. */
    public List<HostAndPort> addresses(String key) {
        return list(key, addressShape(), this::readAddress);
    }

    /** A list of texts; empty when there is none. */
    public List<String> texts(String key) {
        return list(key, "a text", this::readText);
    }

    /** The table under the key; an empty one when there is none. */
    public CheckedTable table(String key) {
        askedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return child(dotted(key), JsonNodeFactory.instance.objectNode());
        }
        return childOf(dotted(key), value);
    }

    /** The list of tables under the key; empty when there is none. */
    public List<CheckedTable> tables(String key) {
        askedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            fault(key, "a list of tables, written [[" + dotted(key) + "]]");
            return List.of();
        }
        List<CheckedTable> tables = new ArrayList<>();
        for (JsonNode element : value) {
            tables.add(childOf(dotted(key) + "[" + tables.size() + "]", element));
        }
        return tables;
    }

    /** The keys of this table in their order in the file; asking marks all of them as known. */
    public List<String> keys() {
        List<String> keys = new ArrayList<>();
        node.fieldNames().forEachRemaining(keys::add);
        askedKeys.addAll(keys);
        return keys;
    }

    /** Notes a fault that only the caller can see, such as two keys with the same address. */
    public void fault(String key, String expected) {
        faults.add(dotted(key), expected);
    }

    /**
     * Ends the reading of a settings file.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public void finish() {
        finish(FailureCode.SETTINGS_INVALID);
    }

    /**
     * Ends the reading of a file with another code than that of settings.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public void finish(FailureCode failureCode) {
        addUnknownKeys();
        faults.throwIfAny(failureCode);
    }

    private void addUnknownKeys() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!askedKeys.contains(name)) {
                fault(name, "no such key");
            }
        }
        children.forEach(CheckedTable::addUnknownKeys);
    }

    private CheckedTable childOf(String path, JsonNode value) {
        if (value instanceof ObjectNode object) {
            return child(path, object);
        }
        faults.add(path, "a table");
        return child(path, JsonNodeFactory.instance.objectNode());
    }

    private CheckedTable child(String path, ObjectNode object) {
        CheckedTable table = new CheckedTable(faults, path, object);
        children.add(table);
        return table;
    }

    private <T> T required(String key, String expected, T emptyValue, Function<JsonNode, Optional<T>> reader) {
        if (!node.has(key)) {
            askedKeys.add(key);
            fault(key, expected + ", but the key is missing");
            return emptyValue;
        }
        return optional(key, expected, emptyValue, reader);
    }

    private <T> T optional(String key, String expected, T defaultValue, Function<JsonNode, Optional<T>> reader) {
        askedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return defaultValue;
        }
        Optional<T> read = reader.apply(value);
        if (read.isEmpty()) {
            fault(key, expected);
            return defaultValue;
        }
        return read.get();
    }

    private <T> List<T> list(String key, String expected, Function<JsonNode, Optional<T>> reader) {
        askedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            fault(key, "a list, each " + expected);
            return List.of();
        }
        List<T> elements = new ArrayList<>();
        for (int index = 0; index < value.size(); index++) {
            Optional<T> element = reader.apply(value.get(index));
            if (element.isEmpty()) {
                fault(key + "[" + index + "]", expected);
            }
            element.ifPresent(elements::add);
        }
        return List.copyOf(elements);
    }

    private String dotted(String key) {
        return prefix.isEmpty() ? key : prefix + "." + key;
    }

    private Optional<String> readText(JsonNode value) {
        return value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
    }

    private Optional<HostAndPort> readAddress(JsonNode value) {
        return readText(value).flatMap(UnitSyntax::parseAddress);
    }

    private static Optional<Boolean> readFlag(JsonNode value) {
        return value.isBoolean() ? Optional.of(value.booleanValue()) : Optional.empty();
    }

    private static Optional<Integer> readInteger(JsonNode value, int minimum, int maximum) {
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            return Optional.empty();
        }
        int number = value.intValue();
        return number >= minimum && number <= maximum ? Optional.of(number) : Optional.empty();
    }

    private static Optional<Double> readNumber(JsonNode value, double minimum, double maximum) {
        if (!value.isNumber()) {
            return Optional.empty();
        }
        double number = value.doubleValue();
        return number >= minimum && number <= maximum ? Optional.of(number) : Optional.empty();
    }

    private static String integerRange(int minimum, int maximum) {
        return "a whole number from " + minimum + " to " + maximum;
    }

    private static String addressShape() {
        return "an IP address with port, such as \"127.0.0.1:8080\"";
    }
}
