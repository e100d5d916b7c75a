package org.mangowall.command.status;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.command.client.RouterStatus;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Runner;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * The fleet as several routers see it together.
 *
 * @param routers the routers that answered
 * @param silentRouters the named routers that gave no answer
 * @param unnamedMembers the routers that others know but that were not asked
 * @param inventory the inventory, if it could be read
 * @param runners the runners with their homes
 * @param services the services, summed over routers
 * @param workspaces the workspaces by service, joined over routers
 */
public record FleetStatus(
        List<RouterStatusDocument> routers,
        List<RouterStatus.Silent> silentRouters,
        List<RouterStatusDocument.Member> unnamedMembers,
        Optional<Inventory> inventory,
        List<RunnerLine> runners,
        List<ServiceLine> services,
        List<WorkspaceLine> workspaces) {

    /** Copies the lists. */
    public FleetStatus {
        routers = List.copyOf(routers);
        silentRouters = List.copyOf(silentRouters);
        unnamedMembers = List.copyOf(unnamedMembers);
        runners = List.copyOf(runners);
        services = List.copyOf(services);
        workspaces = List.copyOf(workspaces);
    }

    /** Joins the answers. */
    public static FleetStatus of(List<RouterStatus> answers, Optional<Inventory> inventory) {
        List<RouterStatusDocument> routers = new ArrayList<>();
        List<RouterStatus.Silent> silent = new ArrayList<>();
        for (RouterStatus answer : answers) {
            switch (answer) {
                case RouterStatus.Answered answered -> routers.add(answered.document());
                case RouterStatus.Silent failed -> silent.add(failed);
            }
        }
        return new FleetStatus(
                routers,
                silent,
                unnamedMembers(routers),
                inventory,
                runnerLines(routers, inventory),
                ServiceLine.join(routers),
                WorkspaceLine.join(routers));
    }

    private static List<RouterStatusDocument.Member> unnamedMembers(List<RouterStatusDocument> routers) {
        Map<String, RouterStatusDocument.Member> members = new TreeMap<>();
        routers.forEach(router -> router.members().forEach(member -> members.put(member.name(), member)));
        routers.forEach(router -> members.remove(router.router()));
        return List.copyOf(members.values());
    }

    private static List<RunnerLine> runnerLines(List<RouterStatusDocument> routers, Optional<Inventory> inventory) {
        Map<RunnerName, List<RunnerLine>> lines = new TreeMap<>();
        for (RouterStatusDocument router : routers) {
            for (RouterStatusDocument.Runner runner : router.runners()) {
                lines.computeIfAbsent(new RunnerName(runner.name()), name -> new ArrayList<>())
                        .add(new RunnerLine(router.router(), runner));
            }
        }
        inventory.ifPresent(known -> known.runners()
                .forEach((name, runner) -> lines.computeIfAbsent(name, unused -> List.of(homeless(known, runner)))));
        return lines.values().stream().flatMap(List::stream).toList();
    }

    private static RunnerLine homeless(Inventory inventory, Runner runner) {
        return new RunnerLine(
                RunnerLine.NO_HOME,
                new RouterStatusDocument.Runner(
                        runner.name().value(),
                        runner.service().value(),
                        runner.zone().value(),
                        0,
                        0,
                        0,
                        inventory.isOpen(runner)));
    }

    /**
     * A runner with the router that says it is its home.
     *
     * @param home the router, or {@link #NO_HOME}
     * @param runner what the home says
     */
    public record RunnerLine(String home, RouterStatusDocument.Runner runner) {

        /** Stands for a runner that no named router is home of. */
        public static final String NO_HOME = "-";
    }
}
