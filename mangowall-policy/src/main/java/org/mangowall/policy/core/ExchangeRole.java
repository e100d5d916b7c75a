package org.mangowall.policy.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.WorkspaceShare;
import org.mangowall.policy.action.DecisionAction;

/** Tells other homes of the same service what this one has, and takes in what they tell. */
final class ExchangeRole {

    private static final long URGENT_MILLISECONDS = 20;
    private static final int PERIODS_OF_FULL_EXCHANGE = 10;
    private static final int MOST_RECEIVERS = 8;
    private static final int MOST_RECEIVERS_OF_ALL_SERVICES = 12;
    private static final int FEWEST_RECEIVERS = 2;

    private final CoreContext context;
    private final HomeRole home;
    private final PeerBook peers;
    private final PullRole pulls;
    private final Map<ServiceName, Told> told = new TreeMap<>();
    private long sequence;

    ExchangeRole(CoreContext context, HomeRole home, PeerBook peers, PullRole pulls) {
        this.context = context;
        this.home = home;
        this.peers = peers;
        this.pulls = pulls;
    }

    /** What was last told of a service. */
    private static final class Told {

        private long at;
        private int free;
        private int waiting;
        private double headTag = Double.POSITIVE_INFINITY;
        private int exchanges;
        private List<RouterName> others = List.of();
    }

    /** The state of a service may have changed. */
    void afterChange(ServiceState service) {
        if (!context.traits().exchange()) {
            return;
        }
        Told last = told.computeIfAbsent(service.name(), name -> new Told());
        long silence = context.now() - last.at;
        boolean newlyWaiting = !service.queue().isEmpty() && last.waiting == 0;
        boolean urgent = newlyWaiting || pulls.takeDisappointed(service.name());
        if (urgent && silence >= URGENT_MILLISECONDS) {
            tell(service, last);
        }
    }

    /** Time has passed. */
    void tick() {
        if (!context.traits().exchange()) {
            return;
        }
        for (ServiceState service : home.services()) {
            Told last = told.computeIfAbsent(service.name(), name -> new Told());
            boolean due =
                    context.now() - last.at >= context.traits().exchangePeriod().toMillis();
            if (due) {
                tell(service, last);
            }
        }
    }

    private void tell(ServiceState service, Told last) {
        List<RouterName> others = others(service.name());
        if (others.isEmpty()) {
            return;
        }
        int fanOut = Math.min(others.size(), fanOut());
        int rotation = (others.size() + fanOut - 1) / fanOut;
        service.rotateExchangesOver(rotation);
        int free = service.pool().free(context.now());
        int waiting = service.queue().size();
        double headTag = service.queue().headTag();
        boolean full = last.exchanges % (PERIODS_OF_FULL_EXCHANGE * rotation) < rotation || !others.equals(last.others);
        List<WorkspaceShare> shares =
                service.ledger().takeShares(service.queue().sizes(), full ? Integer.MAX_VALUE : rotation);
        boolean same = shares.isEmpty() && free == last.free && waiting == last.waiting && headTag == last.headTag;
        last.at = context.now();
        last.exchanges++;
        if (same && rotation == 1) {
            return;
        }
        last.free = free;
        last.waiting = waiting;
        last.headTag = headTag;
        last.others = others;
        sequence++;
        ServiceExchange exchange = new ServiceExchange(
                context.self(),
                context.identity().incarnation(),
                sequence,
                service.name(),
                free,
                waiting,
                headTag,
                shares);
        int start = (int) ((long) last.exchanges * fanOut % others.size());
        for (int step = 0; step < fanOut; step++) {
            RouterName receiver = others.get((start + step) % others.size());
            context.act(new DecisionAction.SendExchange(receiver, exchange));
        }
    }

    /** How many others are told at a time; the rest follows in turn, so that the bytes stay within their bound. */
    private int fanOut() {
        int services = 0;
        for (ServiceState service : home.services()) {
            services += others(service.name()).isEmpty() ? 0 : 1;
        }
        int each = MOST_RECEIVERS_OF_ALL_SERVICES / Math.max(1, services);
        return Math.min(MOST_RECEIVERS, Math.max(FEWEST_RECEIVERS, each));
    }

    private List<RouterName> others(ServiceName service) {
        if (!context.assignment().homesOf(service).contains(context.self())) {
            return List.of();
        }
        return context.assignment().homesOf(service).stream()
                .filter(router -> !router.equals(context.self()))
                .toList();
    }

    void received(ServiceExchange exchange) {
        ServiceState service = home.service(exchange.service());
        service.ledger().merge(exchange.from(), exchange.incarnation(), exchange.shares(), context.now());
        peers.record(exchange, context.now());
    }

    /** Asks the other routers for their counters, before the own order means anything. */
    void askForCounters() {
        if (!context.traits().exchange()) {
            return;
        }
        for (RouterName router : context.view().members().keySet()) {
            if (!router.equals(context.self())) {
                context.act(new DecisionAction.AskCounters(router));
            }
        }
    }

    void answerCounters(RouterName asker) {
        for (ServiceState service : home.services()) {
            CounterSnapshot snapshot = service.ledger().snapshot(service.name());
            if (!snapshot.charges().isEmpty()) {
                context.act(new DecisionAction.SendCounters(asker, snapshot));
            }
        }
    }

    void received(CounterSnapshot snapshot) {
        home.service(snapshot.service()).ledger().merge(snapshot);
    }

    /** Forgets the news of routers that are no homes any more. */
    void reassign() {
        for (ServiceState service : home.services()) {
            peers.keepOnly(service.name(), context.assignment().homesOf(service.name()));
        }
    }
}
