package org.mangowall.policy.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.action.DecisionAction;

/** Tells other homes of the same service what this one has, and takes in what they tell. */
final class ExchangeRole {

    private static final long ANSWER_MILLISECONDS = 350;
    private static final long URGENT_MILLISECONDS = 100;
    private static final int PERIODS_OF_FULL_EXCHANGE = 10;
    private static final double BUDGET_BYTES_PER_SECOND = 4_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final int EXCHANGE_BYTES = 60;
    private static final int SHARE_BYTES = 54;

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
        private final Map<RouterName, Long> answers = new TreeMap<>();
        private int exchanges;
        private int shares;
        private List<RouterName> others = List.of();

        private boolean isSame(ServiceExchange exchange) {
            return free == exchange.freeSlots()
                    && waiting == exchange.waitingRequests()
                    && headTag == exchange.headTag();
        }
    }

    /** The state of a service may have changed. */
    void afterChange(ServiceState service) {
        if (!context.traits().exchange()) {
            return;
        }
        Told last = told.computeIfAbsent(service.name(), name -> new Told());
        long silence = context.now() - last.at;
        boolean newlyWaiting = !service.queue().isEmpty() && last.waiting == 0 && peers.mayHaveRoom(service.name());
        for (RouterName asker : pulls.takeDisappointed(service.name())) {
            answer(service, asker, last);
        }
        if (newlyWaiting && silence >= URGENT_MILLISECONDS) {
            tell(service, last);
        }
    }

    /** Gives fresh news to a home that pulled in vain, but not again and again. */
    private void answer(ServiceState service, RouterName asker, Told last) {
        long answeredAt = last.answers.getOrDefault(asker, Long.MIN_VALUE / 2);
        if (context.now() - answeredAt < ANSWER_MILLISECONDS) {
            return;
        }
        last.answers.put(asker, context.now());
        context.act(new DecisionAction.SendExchange(asker, exchange(service, 1)));
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
        int fanOut = fanOut(others.size());
        int rotation = (others.size() + fanOut - 1) / fanOut;
        service.rotateExchangesOver(rotation);
        boolean full = last.exchanges % (PERIODS_OF_FULL_EXCHANGE * rotation) < rotation || !others.equals(last.others);
        service.ledger().countExchange();
        ServiceExchange exchange = exchange(service, full ? Integer.MAX_VALUE : rotation);
        boolean same = exchange.shares().isEmpty() && last.isSame(exchange);
        last.at = context.now();
        last.exchanges++;
        last.shares = exchange.shares().size();
        if (same && rotation == 1) {
            return;
        }
        last.free = exchange.freeSlots();
        last.waiting = exchange.waitingRequests();
        last.headTag = exchange.headTag();
        last.others = others;
        int start = (int) ((long) last.exchanges * fanOut % others.size());
        for (int step = 0; step < fanOut; step++) {
            RouterName receiver = others.get((start + step) % others.size());
            context.act(new DecisionAction.SendExchange(receiver, exchange));
        }
    }

    private ServiceExchange exchange(ServiceState service, int exchanges) {
        sequence++;
        return new ServiceExchange(
                context.self(),
                context.identity().incarnation(),
                sequence,
                service.name(),
                service.pool().free(context.now()),
                service.queue().size(),
                service.queue().headTag(),
                service.ledger().shares(service.queue().sizes(), exchanges));
    }

    /** How many others are told at a time; the rest follows in turn, so that all services keep within the budget. */
    private int fanOut(int others) {
        double wanted = 0;
        for (ServiceState service : home.services()) {
            Told last = told.get(service.name());
            int shares = last == null ? 0 : last.shares;
            wanted += others(service.name()).size() * (double) (EXCHANGE_BYTES + SHARE_BYTES * shares);
        }
        double budget =
                BUDGET_BYTES_PER_SECOND * context.traits().exchangePeriod().toMillis() / MILLISECONDS_PER_SECOND;
        double part = Math.min(1, budget / Math.max(1, wanted));
        return Math.max(1, (int) Math.round(others * part));
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
                context.act(new DecisionAction.RequestCounters(router));
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
