package org.mangowall.router.runner;

/** Tracks whether a stream of server-sent events is between two events; lines end with LF, CR LF or CR. */
final class EventBoundary {

    private boolean isInsideEvent;
    private boolean hasEvents;
    private boolean isLineEmpty = true;
    private boolean isAfterCarriageReturn;

    void accept(byte[] bytes) {
        for (byte next : bytes) {
            accept(next);
        }
    }

    private void accept(byte next) {
        boolean endsCarriageReturn = next == '\n' && isAfterCarriageReturn;
        isAfterCarriageReturn = next == '\r';
        if (endsCarriageReturn) {
            return;
        }
        if (next != '\n' && next != '\r') {
            isLineEmpty = false;
            isInsideEvent = true;
            return;
        }
        hasEvents |= isInsideEvent && isLineEmpty;
        isInsideEvent &= !isLineEmpty;
        isLineEmpty = true;
    }

    /** Whether the last event lacks its blank line. */
    boolean isInsideEvent() {
        return isInsideEvent;
    }

    /** Whether a whole event was received. */
    boolean hasEvents() {
        return hasEvents;
    }
}
