package review3;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The first line, the headers and the body of a request or response; reads messages with a length or in chunks. */
public record HttpRequestText(String line, Map<String, String> headers, byte[] body) {

    /** Reads a request, or a response to a request that may have a body; null at the end of the input. */
    public static HttpRequestText read(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(input); !"".equals(header); header = readLine(input)) {
            if (header == null) {
                throw new EOFException("the head broke off");
            }
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return new HttpRequestText(line, headers, readChunks(input));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new HttpRequestText(line, headers, readBytes(input, length));
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        while (true) {
            String size = readLine(input);
            if (size == null) {
                throw new EOFException("the message broke off");
            }
            int length = Integer.parseInt(size.strip(), 16);
            body.write(readBytes(input, length));
            readLine(input);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readBytes(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the message broke off");
        }
        return bytes;
    }

    /** Returns null at the end of the input before the first byte. */
    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the head broke off");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }

    public int status() {
        return Integer.parseInt(line.split(" ")[1]);
    }

    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
