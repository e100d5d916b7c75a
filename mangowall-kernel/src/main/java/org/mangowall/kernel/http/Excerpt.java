package org.mangowall.kernel.http;

/** Keeps the last bytes of a line, for messages. */
final class Excerpt {

    private static final int MAX_BYTES = 48;
    private static final int DELETE = 0x7F;

    private final byte[] last = new byte[MAX_BYTES];
    private int count;

    void begin() {
        count = 0;
    }

    void add(byte[] bytes, int start, int end) {
        int added = Math.min(MAX_BYTES, end - start);
        int kept = Math.min(count, MAX_BYTES - added);
        System.arraycopy(last, count - kept, last, 0, kept);
        System.arraycopy(bytes, end - added, last, kept, added);
        count = kept + added;
    }

    /** Returns the bytes as printable ASCII characters, others in hexadecimal. */
    String escaped() {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            byte value = last[index];
            if (value >= Characters.SPACE && value < DELETE && value != '\\' && value != '"') {
                text.append((char) value);
            } else {
                text.append("\\x%02x".formatted(value));
            }
        }
        return text.toString();
    }
}
