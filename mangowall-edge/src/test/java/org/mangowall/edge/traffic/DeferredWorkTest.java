package org.mangowall.edge.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mangowall.edge.log.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(60)
class DeferredWorkTest {

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(logOutput, Clock.systemUTC(), "h");
    private final DeferredWork work = new DeferredWork(group.next(), () -> 0, log);

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** An unexpected error in one request must not keep the others waiting. */
    @Test
    void anErrorInOneRequestDoesNotStopTheOthers() throws Exception {
        CountDownLatch hasRun = new CountDownLatch(1);
        group.next()
                .submit(() -> work.addArrived("w", () -> {
                    throw new IllegalStateException("on purpose");
                }))
                .sync();
        group.next().submit(() -> work.addArrived("w", hasRun::countDown)).sync();
        hasRun.await();
        log.close();
        assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("on purpose"));
    }

    @Test
    void placedRequestsGoFirstAndWorkspacesTakeTurns() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch hasRun = new CountDownLatch(5);
        group.next()
                .submit(() -> {
                    for (String request : List.of("large-1", "large-2", "large-3", "small-1")) {
                        work.addArrived(request.substring(0, 5), () -> run(order, request, hasRun));
                    }
                    work.addUrgent(() -> run(order, "placed", hasRun));
                })
                .sync();
        hasRun.await();
        log.close();
        assertEquals(List.of("placed", "large-1", "small-1", "large-2", "large-3"), order);
    }

    private static void run(List<String> order, String request, CountDownLatch hasRun) {
        order.add(request);
        hasRun.countDown();
    }
}
