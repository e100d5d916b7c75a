package org.mangowall.kernel.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DutyTest {

    private static final Duration TICK = Duration.ofMillis(10);

    @Test
    void eventsAreHandledInTheOrderOfOffers() throws InterruptedException {
        List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(3);
        Duty<Integer> duty = new Duty<Integer>("order", 8, TICK, event -> {
                    handled.add(event);
                    done.countDown();
                })
                .start();
        duty.offer(1);
        duty.offer(2);
        duty.offer(3);
        done.await();
        duty.close();
        assertEquals(List.of(1, 2, 3), handled);
    }

    @Test
    void eventsBeyondTheCapacityAreRefusedAndCounted() {
        Duty<Integer> duty = new Duty<>("full", 2, TICK, event -> {});
        assertTrue(duty.offer(1));
        assertTrue(duty.offer(2));
        assertFalse(duty.offer(3));
        assertEquals(1, duty.refusedEvents());
    }

    @Test
    void aFailingHandlerDoesNotStopTheThread() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Duty<Integer> duty = new Duty<Integer>("failing", 8, TICK, event -> {
                    if (event == 1) {
                        throw new IllegalStateException("on purpose");
                    }
                    done.countDown();
                })
                .start();
        duty.offer(1);
        duty.offer(2);
        done.await();
        duty.close();
    }

    /** Guards against a duty that ends unseen, so that the process goes on without it. */
    @Test
    void anErrorOfTheHandlerDoesNotStopTheThread() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Duty<Integer> duty = new Duty<Integer>("failing", 8, TICK, event -> {
                    if (event == 1) {
                        throw new NoClassDefFoundError("on purpose");
                    }
                    done.countDown();
                })
                .start();
        duty.offer(1);
        duty.offer(2);
        assertTrue(done.await(30, TimeUnit.SECONDS));
        duty.close();
    }

    /** Guards against a duty that ends unseen, so that the process goes on without it. */
    @Test
    void anErrorOfATickDoesNotStopTheThread() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(2);
        Duty<Integer> duty = new Duty<>("failing", 8, TICK, new DutyHandler<Integer>() {
                    @Override
                    public void handle(Integer event) {}

                    @Override
                    public void tick() {
                        ticks.countDown();
                        throw new NoClassDefFoundError("on purpose");
                    }
                })
                .start();
        assertTrue(ticks.await(30, TimeUnit.SECONDS));
        duty.close();
    }

    /** Guards against a duty that ends because its failure can't be logged, for instance without descriptors. */
    @Test
    void aFailureThatCanNotBeLoggedDoesNotStopTheThread() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Duty<Integer> duty = new Duty<Integer>("failing", 8, TICK, event -> {
                    if (event == 1) {
                        throw new IllegalStateException("on purpose") {
                            @Override
                            public String toString() {
                                throw new NoClassDefFoundError("on purpose");
                            }
                        };
                    }
                    done.countDown();
                })
                .start();
        duty.offer(1);
        duty.offer(2);
        assertTrue(done.await(30, TimeUnit.SECONDS));
        duty.close();
    }
}
