package org.mangowall.router;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.mangowall.kernel.time.MonotonicClock;
import org.mangowall.policy.DecisionCore;
import org.mangowall.policy.DecisionStatus;
import org.mangowall.policy.action.DecisionAction;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.decision.DecisionDuty;
import org.mangowall.router.metrics.RouterMetrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DecisionDutyTest {

    private static final int RING_CAPACITY_EVENTS = 64;

    /** Blocks at its first event, other than clock ticks, until the test lets it continue. */
    private static final class BlockingCore implements DecisionCore {

        private final CountDownLatch blocked = new CountDownLatch(1);
        private final CountDownLatch proceed = new CountDownLatch(1);
        private final CountDownLatch leaveHandled = new CountDownLatch(1);
        private final AtomicInteger events = new AtomicInteger();

        @Override
        public List<DecisionAction> handle(DecisionEvent event) {
            if (event instanceof DecisionEvent.ClockTicked) {
                return List.of();
            }
            events.incrementAndGet();
            blocked.countDown();
            try {
                proceed.await();
            } catch (InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
            if (event instanceof DecisionEvent.LeaveBegan) {
                leaveHandled.countDown();
            }
            return List.of();
        }

        @Override
        public DecisionStatus status() {
            return new DecisionStatus(0, List.of(), List.of(), List.of());
        }
    }

    @Test
    void aNearlyFullRingRefusesNewRequestsAndLosesNoPostedEvent() throws Exception {
        BlockingCore core = new BlockingCore();
        try (DecisionDuty duty =
                new DecisionDuty(core, new MonotonicClock(), new RouterMetrics(), RING_CAPACITY_EVENTS)) {
            duty.start(action -> {});
            assertTrue(duty.offer(new DecisionEvent.CallerDisconnected(null)));
            core.blocked.await();
            int accepted = 0;
            while (duty.offer(new DecisionEvent.CallerDisconnected(null))) {
                accepted++;
            }
            assertEquals(RING_CAPACITY_EVENTS / 4 * 3, accepted);
            for (int event = 0; event < RING_CAPACITY_EVENTS / 4; event++) {
                duty.post(new DecisionEvent.CallerDisconnected(null));
            }
            assertFalse(duty.offer(new DecisionEvent.CallerDisconnected(null)));
            Thread waitingPost = Thread.ofVirtual().start(() -> duty.post(new DecisionEvent.LeaveBegan()));
            core.proceed.countDown();
            core.leaveHandled.await();
            waitingPost.join();
            assertEquals(1 + RING_CAPACITY_EVENTS + 1, core.events.get());
        }
    }
}
