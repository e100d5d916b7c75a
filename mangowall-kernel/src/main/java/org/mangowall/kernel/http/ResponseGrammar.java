package org.mangowall.kernel.http;

import java.util.Optional;

/**
 * Checks all bytes of HTTP/1 responses that are not content, as they arrive.
 *
 * <p>This is the one statement of what is trusted in a response; {@code docs/design/responses.md} gives the reasons
 * where RFC 9110 and RFC 9112 allow more than one way:
 *
 * <pre>
 * status-line = "HTTP/1." DIGIT SP status-code SP *( HTAB / SP / VCHAR / obs-text )
 * status-code = 100 to 599, but 101
 * field-line  = 1*tchar ":" *( HTAB / SP / VCHAR / obs-text )
 * chunk-line  = 1*8HEXDIG *( ";" token [ "=" ( token / quoted-string ) ] )
 * </pre>
 *
 * <p>Each line ends in CRLF. At most one field tells where the content ends, {@code Content-Length} with 1 to 18 digits
 * or {@code Transfer-Encoding: chunked}; none in a trailer section.
 *
 * <p>Usage: {@link #begin} with each message, interim responses included; {@link #check} as long as
 * {@link #contentBytesLeft} is 0 and the message isn't complete; {@link #skipContent} otherwise.
 */
public final class ResponseGrammar {

    /** The content lasts until the end of the connection. */
    public static final long UNTIL_CONNECTION_ENDS = Long.MAX_VALUE;

    private enum State {
        STATUS_LINE,
        STATUS_LINE_END,
        FIELD_START,
        FIELD,
        FIELD_END,
        HEAD_END,
        CONTENT,
        CHUNK_LINE,
        CHUNK_LINE_END,
        CHUNK_DATA,
        CHUNK_DATA_END,
        CHUNK_END,
        TRAILER_START,
        TRAILER,
        TRAILER_END,
        TRAILERS_END,
        COMPLETE
    }

    private final StatusLine statusLine = new StatusLine();
    private final FieldLine field = new FieldLine();
    private final ContentFraming framing = new ContentFraming();
    private final ChunkLine chunkLine = new ChunkLine();
    private final Excerpt excerpt = new Excerpt();
    private final byte[] single = new byte[1];
    private State state = State.COMPLETE;
    private boolean isHeadRequest;
    private long contentBytesLeft;
    private boolean hasLineEnded;
    private ResponsePart invalidPart;

    /**
     * Begins a message.
     *
     * @param isResponseToHead whether the request asked for the head only
     */
    public void begin(boolean isResponseToHead) {
        isHeadRequest = isResponseToHead;
        state = State.STATUS_LINE;
        contentBytesLeft = 0;
        hasLineEnded = false;
        invalidPart = null;
        statusLine.begin();
        framing.begin();
        excerpt.begin();
    }

    /** Whether the message has ended. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns how many bytes of content follow, which need no check; 0 if the next byte isn't content. */
    public long contentBytesLeft() {
        return contentBytesLeft;
    }

    /** Skips content, at most what is left. */
    public void skipContent(long bytes) {
        if (contentBytesLeft == UNTIL_CONNECTION_ENDS) {
            return;
        }
        contentBytesLeft -= bytes;
        if (contentBytesLeft == 0) {
            state = state == State.CHUNK_DATA ? State.CHUNK_DATA_END : State.COMPLETE;
        }
    }

    /**
     * Checks bytes up to the next content or the end of the message.
     *
     * @return the index behind the last byte that is valid; it is invalid if {@link #invalidPart} is present
     */
    public int check(byte[] bytes, int start, int end) {
        int index = start;
        int lineStart = start;
        while (index < end && state != State.COMPLETE && contentBytesLeft == 0) {
            if (state == State.FIELD || state == State.TRAILER) {
                index = field.accept(bytes, index, end);
                if (index == end) {
                    break;
                }
            }
            if (!accept(bytes[index])) {
                excerpt.add(bytes, lineStart, index + 1);
                return index;
            }
            index += 1;
            if (hasLineEnded) {
                hasLineEnded = false;
                excerpt.begin();
                lineStart = index;
            }
        }
        excerpt.add(bytes, lineStart, index);
        return index;
    }

    /** Returns the first invalid part, if there is one. */
    public Optional<ResponsePart> invalidPart() {
        return Optional.ofNullable(invalidPart);
    }

    /** Describes the invalid part, bounded and with escapes. */
    public String description() {
        return invalidPart.label() + ": \"" + excerpt.escaped() + "\"";
    }

    private boolean accept(byte next) {
        return switch (state) {
            case STATUS_LINE ->
                next == Characters.CARRIAGE_RETURN
                        ? isEnded(statusLine.isComplete(), State.STATUS_LINE_END, statusLine.part())
                        : isValid(statusLine.accept(next), statusLine.part());
            case STATUS_LINE_END -> isLineEnded(next, State.FIELD_START);
            case FIELD_START -> startField(next, State.HEAD_END, State.FIELD);
            case FIELD -> endField(next, State.FIELD_END);
            case FIELD_END -> isLineEnded(next, State.FIELD_START) && isValid(addFraming(), ResponsePart.FRAMING);
            case HEAD_END -> isLineEnded(next, State.COMPLETE) && endHead();
            case CHUNK_LINE ->
                next == Characters.CARRIAGE_RETURN
                        ? isEnded(chunkLine.isComplete(), State.CHUNK_LINE_END, chunkLine.part())
                        : isValid(chunkLine.accept(next), chunkLine.part());
            case CHUNK_LINE_END -> isLineEnded(next, State.CHUNK_DATA) && beginChunk();
            case CHUNK_DATA_END -> isEnded(next == Characters.CARRIAGE_RETURN, State.CHUNK_END, ResponsePart.CHUNK_END);
            case CHUNK_END -> endChunk(next);
            case TRAILER_START -> startField(next, State.TRAILERS_END, State.TRAILER);
            case TRAILER -> endField(next, State.TRAILER_END);
            case TRAILER_END ->
                isLineEnded(next, State.TRAILER_START) && isValid(!field.isFraming(), ResponsePart.TRAILER_NAME);
            case TRAILERS_END -> isLineEnded(next, State.COMPLETE);
            case CONTENT, CHUNK_DATA, COMPLETE -> throw new IllegalStateException("no check is due in " + state);
        };
    }

    private boolean isValid(boolean isAccepted, ResponsePart part) {
        if (!isAccepted) {
            invalidPart = part;
        }
        return isAccepted;
    }

    private boolean isEnded(boolean isAllowed, State following, ResponsePart part) {
        if (isAllowed) {
            state = following;
        }
        return isValid(isAllowed, part);
    }

    private boolean isLineEnded(byte next, State following) {
        boolean isEnded = isEnded(next == Characters.LINE_FEED, following, ResponsePart.LINE_END);
        if (isEnded) {
            hasLineEnded = true;
        }
        return isEnded;
    }

    private boolean startField(byte next, State endOfSection, State inField) {
        if (next == Characters.CARRIAGE_RETURN) {
            state = endOfSection;
            return true;
        }
        field.begin();
        state = inField;
        single[0] = next;
        return isValid(field.accept(single, 0, 1) == 1, fieldPart());
    }

    /** Ends a field line; its other bytes were accepted before. */
    private boolean endField(byte next, State following) {
        boolean isEnd = next == Characters.CARRIAGE_RETURN && field.isComplete();
        return isEnded(isEnd, following, fieldPart());
    }

    private ResponsePart fieldPart() {
        if (state == State.TRAILER) {
            return field.isInValue() ? ResponsePart.TRAILER_VALUE : ResponsePart.TRAILER_NAME;
        }
        return field.isInValue() ? ResponsePart.FIELD_VALUE : ResponsePart.FIELD_NAME;
    }

    private boolean addFraming() {
        return !field.isFraming() || framing.add(field);
    }

    private boolean endHead() {
        if (!isValid(framing.isConsistent(statusLine), ResponsePart.FRAMING)) {
            return false;
        }
        ContentFraming.Delimiter delimiter = framing.delimiter(statusLine.status(), isHeadRequest);
        state = switch (delimiter) {
            case NO_CONTENT -> State.COMPLETE;
            case LENGTH, CONNECTION_END -> State.CONTENT;
            case CHUNKS -> State.CHUNK_LINE;
        };
        contentBytesLeft = switch (delimiter) {
            case LENGTH -> framing.length();
            case CONNECTION_END -> UNTIL_CONNECTION_ENDS;
            case NO_CONTENT, CHUNKS -> 0;
        };
        chunkLine.begin();
        return true;
    }

    private boolean beginChunk() {
        contentBytesLeft = chunkLine.size();
        if (contentBytesLeft == 0) {
            state = State.TRAILER_START;
        }
        return true;
    }

    private boolean endChunk(byte next) {
        chunkLine.begin();
        hasLineEnded = true;
        return isEnded(next == Characters.LINE_FEED, State.CHUNK_LINE, ResponsePart.CHUNK_END);
    }
}
