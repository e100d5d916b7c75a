package org.mangowall.standin.caller;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.inventory.ServiceKind;

/** Measures the service gap between the workspaces that keep a model service backlogged. */
final class ServiceGapMeter {

    private final Map<String, List<PlanState>> plansByService = new TreeMap<>();
    private final Map<String, ServiceGap> gapByService = new TreeMap<>();
    private final Map<String, Double> weightByWorkspace;

    ServiceGapMeter(List<PlanState> plans, Map<String, Double> weightByWorkspace) {
        this.weightByWorkspace = weightByWorkspace;
        for (PlanState plan : plans) {
            if (isMeasured(plan.plan())) {
                plansByService
                        .computeIfAbsent(plan.plan().service(), service -> new ArrayList<>())
                        .add(plan);
            }
        }
        plansByService.forEach((service, group) -> gapByService.put(service, new ServiceGap(group.size())));
    }

    private static boolean isMeasured(LoadPlan plan) {
        return plan.kind() == ServiceKind.MODEL && plan.isClosedLoop() && plan.stream() && !plan.direct();
    }

    void sample() {
        plansByService.forEach((service, group) -> gapByService
                .get(service)
                .sample(group.stream().mapToDouble(this::servedPerWeight).toArray()));
    }

    private double servedPerWeight(PlanState plan) {
        return plan.streamedTokens().sum()
                / weightByWorkspace.getOrDefault(plan.plan().workspace(), 1.0);
    }

    /** Returns the largest gap of each service, in output tokens per unit of weight. */
    Map<String, Double> toDocument() {
        Map<String, Double> document = new LinkedHashMap<>();
        gapByService.forEach((service, gap) -> document.put(service, gap.largest()));
        return document;
    }
}
