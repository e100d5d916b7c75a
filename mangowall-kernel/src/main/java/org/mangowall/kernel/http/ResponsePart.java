package org.mangowall.kernel.http;

/** A part of an HTTP response outside of its content. */
public enum ResponsePart {
    /** The version in the status line. */
    VERSION("version"),
    /** The status code. */
    STATUS_CODE("status code"),
    /** The reason phrase. */
    REASON_PHRASE("reason phrase"),
    /** The name of a field in the head. */
    FIELD_NAME("field name"),
    /** The value of a field in the head. */
    FIELD_VALUE("field value"),
    /** The fields that tell where the content ends. */
    FRAMING("framing"),
    /** The size of a chunk. */
    CHUNK_SIZE("chunk size"),
    /** An extension of a chunk. */
    CHUNK_EXTENSION("chunk extension"),
    /** The end of a chunk's data. */
    CHUNK_END("chunk end"),
    /** The name of a field in the trailer section. */
    TRAILER_NAME("trailer name"),
    /** The value of a field in the trailer section. */
    TRAILER_VALUE("trailer value"),
    /** The end of a line. */
    LINE_END("line end");

    private final String label;

    ResponsePart(String label) {
        this.label = label;
    }

    /** The name in logs. */
    public String label() {
        return label;
    }
}
