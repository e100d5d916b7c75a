package org.mangowall.standin.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;

import org.mangowall.router.Router;

/** Starts the demo fleet, sends calls through it and prints its addresses. */
public final class Demo implements AutoCloseable {

    private final PrintStream out;
    private final DemoFleet fleet;

    private Demo(PrintStream out, DemoFleet fleet) {
        this.out = out;
        this.fleet = fleet;
    }

    /** Starts the fleet. */
    public static Demo start(PrintStream out) {
        out.println("starting a platform, the Consortium's runners and one router in each availability zone");
        return new Demo(out, DemoFleet.start());
    }

    /** Sends calls through every router; returns whether all got a complete response. */
    public boolean sendCalls() {
        List<String> addresses = fleet.routers().stream()
                .map(router -> "http://127.0.0.1:" + router.callerPort())
                .toList();
        List<String> workspaces = fleet.inventory().workspaces().stream()
                .map(workspace -> workspace.name().value())
                .toList();
        try (DemoCalls calls = new DemoCalls(out)) {
            return calls.run(addresses, workspaces);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Prints the addresses of the fleet and sample commands. */
    public void showAddresses() {
        out.println();
        out.println("platform   " + fleet.platformEndpoint());
        for (Router router : fleet.routers()) {
            out.printf(
                    "router     callers http://127.0.0.1:%d   metrics http://127.0.0.1:%d/metrics%n",
                    router.callerPort(), router.operatorPort());
        }
        int callerPort = fleet.routers().get(0).callerPort();
        int operatorPort = fleet.routers().get(0).operatorPort();
        String workspace = fleet.inventory().workspaces().get(0).name().value();
        out.println();
        out.println("try:");
        out.printf(
                "  curl -N -H 'x-workspace: %s' -d '%s' http://127.0.0.1:%d/v1/chat/completions%n",
                workspace,
                "{\"model\":\"moniteur\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}",
                callerPort);
        out.printf(
                "  curl -i -H 'x-workspace: %s' -d 'passed' http://127.0.0.1:%d/services/registre/certifications%n",
                workspace, callerPort);
        out.printf("  curl http://127.0.0.1:%d/mangowall/entry-hosts%n", callerPort);
        out.printf("  curl http://127.0.0.1:%d/mangowall/status%n", operatorPort);
    }

    /** Stops the fleet. */
    @Override
    public void close() {
        out.println("ending: the routers finish their requests first");
        fleet.close();
        out.println("ended");
    }
}
