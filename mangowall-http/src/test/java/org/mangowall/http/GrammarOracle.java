package org.mangowall.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Decides by the expressions of RFC 9110 and 9112 whether bytes begin with a response. */
final class GrammarOracle {

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7E\\x80-\\xFF]*";
    private static final String QUOTED = "\"(?:[\\t\\x20\\x21\\x23-\\x5B\\x5D-\\x7E]|\\\\[\\t\\x20-\\x7E])*\"";
    private static final String EXTENSION = ";" + TOKEN + "(?:=(?:" + TOKEN + "|" + QUOTED + "))?";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.([0-9]) ([1-5][0-9][0-9]) " + TEXT + "\\r\\n");
    private static final Pattern FIELD_LINE = Pattern.compile("(" + TOKEN + "):(" + TEXT + ")\\r\\n");
    private static final Pattern CHUNK_LINE = Pattern.compile("([0-9A-Fa-f]{1,8})(?:" + EXTENSION + ")*\\r\\n");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    /** A field of a head. */
    private record Field(String name, String value) {}

    private final String text;
    private int position;

    private GrammarOracle(byte[] bytes) {
        text = new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the content of the first final response.
     *
     * @return empty if the response is invalid, or isn't complete when the connection ends behind the bytes
     */
    static Optional<String> content(byte[] bytes) {
        GrammarOracle oracle = new GrammarOracle(bytes);
        Optional<Integer> status = Optional.of(100);
        Optional<String> content = Optional.empty();
        while (status.isPresent() && status.get() < 200) {
            Matcher statusLine = oracle.match(STATUS_LINE);
            if (statusLine == null) {
                return Optional.empty();
            }
            status = Optional.of(Integer.parseInt(statusLine.group(2)));
            boolean isVersionOne = statusLine.group(1).equals("1");
            content = oracle.readFields().flatMap(fields -> oracle.readContent(fields, statusLine, isVersionOne));
            if (content.isEmpty() || status.get() == 101) {
                return Optional.empty();
            }
        }
        return content;
    }

    private Matcher match(Pattern pattern) {
        Matcher matcher = pattern.matcher(text).region(position, text.length());
        if (!matcher.lookingAt()) {
            return null;
        }
        position = matcher.end();
        return matcher;
    }

    private boolean skip(String expected) {
        boolean isNext = text.startsWith(expected, position);
        position += isNext ? expected.length() : 0;
        return isNext;
    }

    private Optional<List<Field>> readFields() {
        List<Field> fields = new ArrayList<>();
        for (Matcher line = match(FIELD_LINE); line != null; line = match(FIELD_LINE)) {
            fields.add(new Field(
                    line.group(1).toLowerCase(Locale.ROOT), line.group(2).strip()));
        }
        return skip("\r\n") ? Optional.of(fields) : Optional.empty();
    }

    private static List<String> values(List<Field> fields, String name) {
        return fields.stream()
                .filter(field -> field.name().equals(name))
                .map(Field::value)
                .toList();
    }

    private Optional<String> readContent(List<Field> fields, Matcher statusLine, boolean isVersionOne) {
        int status = Integer.parseInt(statusLine.group(2));
        List<String> lengths = values(fields, "content-length");
        List<String> codings = values(fields, "transfer-encoding");
        boolean isAmbiguous = lengths.size() + codings.size() > 1;
        boolean isKnown =
                lengths.stream().allMatch(length -> LENGTH.matcher(length).matches())
                        && codings.stream().allMatch(coding -> coding.equalsIgnoreCase("chunked") && isVersionOne);
        if (isAmbiguous || !isKnown) {
            return Optional.empty();
        }
        boolean announces = !codings.isEmpty() || !lengths.isEmpty() && Long.parseLong(lengths.getFirst()) > 0;
        if (status < 200 || status == 204) {
            return announces ? Optional.empty() : Optional.of("");
        }
        if (status == 304) {
            return Optional.of("");
        }
        if (!codings.isEmpty()) {
            return readChunks();
        }
        long length = lengths.isEmpty() ? text.length() - position : Long.parseLong(lengths.getFirst());
        return take(length);
    }

    private Optional<String> take(long length) {
        if (length > text.length() - position) {
            return Optional.empty();
        }
        position += (int) length;
        return Optional.of(text.substring(position - (int) length, position));
    }

    private Optional<String> readChunks() {
        StringBuilder content = new StringBuilder();
        while (true) {
            Matcher line = match(CHUNK_LINE);
            long size = line == null ? Long.MAX_VALUE : Long.parseLong(line.group(1), 16);
            if (size > Integer.MAX_VALUE) {
                return Optional.empty();
            }
            if (size == 0) {
                return readFields()
                        .filter(trailers -> values(trailers, "content-length").isEmpty()
                                && values(trailers, "transfer-encoding").isEmpty())
                        .map(trailers -> content.toString());
            }
            Optional<String> data = take(size);
            if (data.isEmpty() || !skip("\r\n")) {
                return Optional.empty();
            }
            content.append(data.get());
        }
    }
}
