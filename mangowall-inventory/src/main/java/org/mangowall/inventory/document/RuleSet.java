package org.mangowall.inventory.document;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.kernel.name.ZoneName;

/**
 * The operators' rules, which override entries of the inventory file.
 *
 * @param closedZones the closed availability zones, whose runners receive no new requests
 * @param drainingRunners the draining runners, which receive no new requests
 * @param workspaceWeights weights that override those of the workspaces
 */
public record RuleSet(
        SortedSet<ZoneName> closedZones,
        SortedSet<RunnerName> drainingRunners,
        SortedMap<WorkspaceName, Double> workspaceWeights) {

    /** Copies the collections. */
    public RuleSet {
        closedZones = Collections.unmodifiableSortedSet(new TreeSet<>(closedZones));
        drainingRunners = Collections.unmodifiableSortedSet(new TreeSet<>(drainingRunners));
        workspaceWeights = Collections.unmodifiableSortedMap(new TreeMap<>(workspaceWeights));
    }

    /** No rules. */
    public static RuleSet empty() {
        return new RuleSet(new TreeSet<>(), new TreeSet<>(), new TreeMap<>());
    }

    /** Returns these rules with the zone closed or open. */
    public RuleSet withZone(ZoneName zone, boolean closed) {
        SortedSet<ZoneName> zones = new TreeSet<>(closedZones);
        if (closed) {
            zones.add(zone);
        } else {
            zones.remove(zone);
        }
        return new RuleSet(zones, drainingRunners, workspaceWeights);
    }

    /** Returns these rules with the runner draining or not. */
    public RuleSet withRunner(RunnerName runner, boolean draining) {
        SortedSet<RunnerName> runners = new TreeSet<>(drainingRunners);
        if (draining) {
            runners.add(runner);
        } else {
            runners.remove(runner);
        }
        return new RuleSet(closedZones, runners, workspaceWeights);
    }

    /** Returns these rules with the given weight for a workspace. */
    public RuleSet withWeight(WorkspaceName workspace, double weight) {
        SortedMap<WorkspaceName, Double> weights = new TreeMap<>(workspaceWeights);
        weights.put(workspace, weight);
        return new RuleSet(closedZones, drainingRunners, weights);
    }
}
