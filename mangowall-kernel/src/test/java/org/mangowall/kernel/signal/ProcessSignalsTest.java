package org.mangowall.kernel.signal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ProcessSignalsTest {

    private static final Duration NO_WAIT = Duration.ZERO;
    private static final Duration LONG_WAIT = Duration.ofMinutes(1);

    private final ProcessSignals signals = new ProcessSignals();
    private final List<String> reads = new CopyOnWriteArrayList<>();

    /** Reads texts in turn; {@code HUP} stands for a signal after the reading, {@code fails} for a failure. */
    private Supplier<String> reader(String... texts) {
        Iterator<String> next = List.of(texts).iterator();
        return () -> {
            String text = next.next();
            reads.add(text);
            if (text.contains("HUP")) {
                signals.requestReload();
            }
            if (text.contains("fails")) {
                throw new MangowallException(FailureCode.INTERNAL, text);
            }
            return text;
        };
    }

    @Test
    void unchangedSettingsAreReadOnce() {
        signals.requestReload();
        assertEquals("whole", signals.readSettings(reader("whole"), NO_WAIT));
        assertEquals(List.of("whole"), reads);
    }

    @Test
    void settingsThatChangeWhileTheyAreReadAreReadAgain() {
        assertEquals("whole", signals.readSettings(reader("part HUP", "part HUP", "whole"), NO_WAIT));
    }

    @Test
    void settingsThatFailAreReadAgainAfterAChange() {
        assertEquals("whole", signals.readSettings(reader("fails HUP", "whole"), NO_WAIT));
    }

    @Test
    void aChangeAfterTheFailureIsWaitedFor() {
        Supplier<String> reader = reader("fails", "whole");
        Thread.ofVirtual().start(() -> {
            while (reads.isEmpty()) {
                Thread.onSpinWait();
            }
            signals.requestReload();
        });
        assertEquals("whole", signals.readSettings(reader, LONG_WAIT));
    }

    @Test
    void settingsThatFailWithoutAChangeAreAFailure() {
        assertThrows(MangowallException.class, () -> signals.readSettings(reader("fails"), NO_WAIT));
    }

    @Test
    void theReloadIsStillPendingAfterTheSettingsWereRead() {
        signals.readSettings(reader("part HUP", "whole"), NO_WAIT);
        List<String> reloads = new ArrayList<>();
        signals.onReload(() -> reloads.add("reload"));
        assertEquals(List.of("reload"), reloads);
    }

    @Test
    void aStopIsPendingUntilItsActionIsKnown() {
        assertFalse(signals.isStopPending());
        signals.requestStop();
        assertTrue(signals.isStopPending());
        signals.onStop(() -> {});
        assertFalse(signals.isStopPending());
    }
}
