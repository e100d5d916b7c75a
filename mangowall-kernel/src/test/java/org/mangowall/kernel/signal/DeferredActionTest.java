package org.mangowall.kernel.signal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DeferredActionTest {

    private final DeferredAction action = new DeferredAction();
    private final List<String> runs = new ArrayList<>();

    @Test
    void requestsBeforeTheActionIsKnownAreOneRun() {
        action.request();
        action.request();
        assertTrue(action.isPending());
        action.setAction(() -> runs.add("run"));
        assertEquals(List.of("run"), runs);
        assertFalse(action.isPending());
    }

    @Test
    void theActionDoesNotRunWithoutARequest() {
        action.setAction(() -> runs.add("run"));
        assertEquals(List.of(), runs);
    }

    @Test
    void eachLaterRequestRunsTheAction() {
        action.setAction(() -> runs.add("run"));
        action.request();
        action.request();
        assertEquals(List.of("run", "run"), runs);
    }

    @Test
    void requestsDuringARunAreOneMoreRunAfterIt() {
        action.setAction(() -> {
            runs.add("begin " + runs.size());
            if (runs.size() == 1) {
                action.request();
                action.request();
            }
            runs.add("end");
        });
        action.request();
        assertEquals(List.of("begin 0", "end", "begin 2", "end"), runs);
    }

    @Test
    void aRequestOfAnotherThreadDuringARunIsNotLost() throws InterruptedException {
        CountDownLatch isRunning = new CountDownLatch(1);
        CountDownLatch canEnd = new CountDownLatch(1);
        action.setAction(() -> {
            runs.add("run");
            isRunning.countDown();
            awaitLatch(canEnd);
        });
        Thread first = Thread.startVirtualThread(action::request);
        isRunning.await();
        action.request();
        assertTrue(action.isPending());
        canEnd.countDown();
        first.join();
        assertEquals(List.of("run", "run"), runs);
    }

    @Test
    void aFailureDoesNotPreventTheNextRun() {
        action.setAction(() -> {
            runs.add("run");
            throw new IllegalStateException("expected");
        });
        assertThrows(IllegalStateException.class, action::request);
        assertThrows(IllegalStateException.class, action::request);
        assertEquals(List.of("run", "run"), runs);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }
}
