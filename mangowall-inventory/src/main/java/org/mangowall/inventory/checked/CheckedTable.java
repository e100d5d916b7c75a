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
 * A table of a settings file that validates its values as they are read and collects the faults.
 *
 * <p>A reading method never throws: if a value is missing or invalid, it records a fault and returns the default or an
 * empty value. {@link #finish} then throws one {@link SettingsException} with all faults of the file, including keys
 * that were never read. Nested tables share the faults of the file; only the outermost table needs to be finished.
 *
 * <p>Not thread-safe.
 */
public final class CheckedTable {

    private static final HostAndPort INVALID_ADDRESS = new HostAndPort("0.0.0.0", 0);

    private final FaultCollector faults;
    private final String prefix;
    private final ObjectNode node;
    private final Set<String> readKeys = new HashSet<>();
    private final List<CheckedTable> children = new ArrayList<>();

    private CheckedTable(FaultCollector faults, String prefix, ObjectNode node) {
        this.faults = faults;
        this.prefix = prefix;
        this.node = node;
    }

    /**
     * Reads a TOML file.
     *
     * @throws SettingsException if it can't be read or is not TOML
     */
    public static CheckedTable readToml(Path file) {
        return parseToml(file.toString(), DocumentReader.readFile(file));
    }

    /**
     * Parses TOML.
     *
     * @param sourceName the name of the text in faults
     * @throws SettingsException if it is not TOML
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
     * @param sourceName the name of the content in faults
     * @throws SettingsException if it is not a JSON object
     */
    public static CheckedTable parseJson(String sourceName, byte[] content) {
        FaultCollector faults = new FaultCollector(sourceName);
        ObjectNode tree = DocumentReader.parseJson(faults, content);
        faults.throwIfAny(FailureCode.SETTINGS_INVALID);
        return new CheckedTable(faults, "", tree);
    }

    /** The name of the file or text in faults. */
    public String sourceName() {
        return faults.source();
    }

    /** Whether the table has the key. */
    public boolean has(String key) {
        return node.has(key);
    }

    /** A required string; empty after a fault. */
    public String text(String key) {
        return required(key, "a text", "", this::readText);
    }

    /** An optional string with a default. */
    public String text(String key, String defaultValue) {
        return optional(key, "a text", defaultValue, this::readText);
    }

    /** An optional string. */
    public Optional<String> optionalText(String key) {
        return Optional.ofNullable(text(key, null));
    }

    /** A required integer within bounds; the minimum after a fault. */
    public int integer(String key, int minimum, int maximum) {
        return required(key, integerRange(minimum, maximum), minimum, value -> readInteger(value, minimum, maximum));
    }

    /** An optional integer within bounds, with a default. */
    public int integer(String key, int minimum, int maximum, int defaultValue) {
        String expected = integerRange(minimum, maximum);
        return optional(key, expected, defaultValue, value -> readInteger(value, minimum, maximum));
    }

    /** An optional number within bounds, with a default. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        String expected = "a number from " + minimum + " to " + maximum;
        return optional(key, expected, defaultValue, value -> readNumber(value, minimum, maximum));
    }

    /** An optional Boolean with a default. */
    public boolean flag(String key, boolean defaultValue) {
        return optional(key, "true or false", defaultValue, CheckedTable::readFlag);
    }

    /** An optional duration within bounds, such as {@code "250ms"}, with a default. */
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

    /** An optional size in bytes within bounds, such as {@code "64KiB"}, with a default. */
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

    /** A required address such as {@code "127.0.0.1:8080"}. */
    public HostAndPort address(String key) {
        return required(key, addressFormat(), INVALID_ADDRESS, this::readAddress);
    }

    /** An optional address with a default. */
    public HostAndPort address(String key, HostAndPort defaultValue) {
        return optional(key, addressFormat(), defaultValue, this::readAddress);
    }

    /** An optional list of addresses; empty by default. */
    public List<HostAndPort> addresses(String key) {
        return list(key, addressFormat(), this::readAddress);
    }

    /** An optional list of strings; empty by default. */
    public List<String> texts(String key) {
        return list(key, "a text", this::readText);
    }

    /** An optional nested table; an empty table by default. */
    public CheckedTable table(String key) {
        readKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return child(qualifiedKey(key), JsonNodeFactory.instance.objectNode());
        }
        return childOf(qualifiedKey(key), value);
    }

    /** An optional list of nested tables; empty by default. */
    public List<CheckedTable> tables(String key) {
        readKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            fault(key, "a list of tables, written [[" + qualifiedKey(key) + "]]");
            return List.of();
        }
        List<CheckedTable> tables = new ArrayList<>();
        for (JsonNode element : value) {
            tables.add(childOf(qualifiedKey(key) + "[" + tables.size() + "]", element));
        }
        return tables;
    }

    /** The keys of this table in the order of the file; marks all of them as read. */
    public List<String> keys() {
        List<String> keys = new ArrayList<>();
        node.fieldNames().forEachRemaining(keys::add);
        readKeys.addAll(keys);
        return keys;
    }

    /** Records a fault that the caller found, such as two keys with the same address. */
    public void fault(String key, String expected) {
        faults.add(qualifiedKey(key), expected);
    }

    /**
     * Reports the faults of a settings file after all its keys have been read.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public void finish() {
        finish(FailureCode.SETTINGS_INVALID);
    }

    /**
     * Reports the faults of another file with the given failure code.
     *
     * @throws SettingsException with all faults, if there are any
     */
    public void finish(FailureCode failureCode) {
        addUnreadKeys();
        faults.throwIfAny(failureCode);
    }

    private void addUnreadKeys() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!readKeys.contains(name)) {
                fault(name, "no such key");
            }
        }
        children.forEach(CheckedTable::addUnreadKeys);
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
            readKeys.add(key);
            fault(key, expected + ", but the key is missing");
            return emptyValue;
        }
        return optional(key, expected, emptyValue, reader);
    }

    private <T> T optional(String key, String expected, T defaultValue, Function<JsonNode, Optional<T>> reader) {
        readKeys.add(key);
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
        readKeys.add(key);
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

    private String qualifiedKey(String key) {
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

    private static String addressFormat() {
        return "an IP address with port, such as \"127.0.0.1:8080\"";
    }
}
