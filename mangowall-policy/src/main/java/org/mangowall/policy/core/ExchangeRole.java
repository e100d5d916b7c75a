package org.mangowall.policy.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.policy.CounterSnapshot;
import org.mangowall.policy.ServiceExchange;
import org.mangowall.policy.action.DecisionAction;

/** Exchanges free slots, queue lengths and workspace counters with the other homes of each service. */
final class ExchangeRole {

    private static final long PULL_ANSWER_INTERVAL_MILLISECONDS = 350;
    private static final long URGENT_INTERVAL_MILLISECONDS = 100;
    private static final int FULL_EXCHANGE_PERIODS = 10;
    private static final double BUDGET_BYTES_PER_SECOND = 4_000;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final int EXCHANGE_BASE_BYTES = 60;
    private static final int SHARE_BYTES = 54;

    private final CoreContext context;
    private final HomeRole home;
    private final PeerHomeStates peers;
    private final PullRole pulls;
    private final Map<ServiceName, SentState> sentStates = new TreeMap<>();
    private long sequence;

    ExchangeRole(CoreContext context, HomeRole home, PeerHomeStates peers, PullRole pulls) {
        this.context = context;
        this.home = home;
        this.peers = peers;
        this.pulls = pulls;
    }

    /** The last exchange sent for a service, and when unsatisfied pulls were last answered. */
    private static final class SentState {

        private long sentAt;
        private int freeSlots;
        private int waitingRequests;
        private double headVirtualTime = Double.POSITIVE_INFINITY;
        private final Map<RouterName, Long> pullAnswerTimes = new TreeMap<>();
        private int exchanges;
        private int shareCount;
        private List<RouterName> others = List.of();

        private boolean matches(ServiceExchange exchange) {
            return freeSlots == exchange.freeSlots()
                    && waitingRequests == exchange.waitingRequests()
                    && headVirtualTime == exchange.headVirtualTime();
        }
    }

    /** Answers unsatisfied pulls, and announces a queue that is no longer empty before the next period. */
    void onServiceChange(ServiceState service) {
        if (!context.traits().exchangesState()) {
            return;
        }
        SentState last = sentStates.computeIfAbsent(service.name(), name -> new SentState());
        long sinceLastExchange = context.now() - last.sentAt;
        boolean hasNewBacklog =
                !service.queue().isEmpty() && last.waitingRequests == 0 && peers.hasFreeSlots(service.name());
        for (RouterName puller : pulls.takeUnsatisfiedPullers(service.name())) {
            answerPull(service, puller, last);
        }
        if (hasNewBacklog && sinceLastExchange >= URGENT_INTERVAL_MILLISECONDS) {
            sendExchange(service, last);
        }
    }

    /** Sends the current state to a home whose pull was not satisfied, at most once per interval. */
    private void answerPull(ServiceState service, RouterName puller, SentState last) {
        long answeredAt = last.pullAnswerTimes.getOrDefault(puller, Long.MIN_VALUE / 2);
        if (context.now() - answeredAt < PULL_ANSWER_INTERVAL_MILLISECONDS) {
            return;
        }
        last.pullAnswerTimes.put(puller, context.now());
        context.addAction(new DecisionAction.SendExchange(puller, createExchange(service, 1)));
    }

    /** Sends the periodic exchanges that are due. */
    void tick() {
        if (!context.traits().exchangesState()) {
            return;
        }
        for (ServiceState service : home.services()) {
            SentState last = sentStates.computeIfAbsent(service.name(), name -> new SentState());
            boolean isDue = context.now() - last.sentAt
                    >= context.traits().exchangePeriod().toMillis();
            if (isDue) {
                sendExchange(service, last);
            }
        }
    }

    private void sendExchange(ServiceState service, SentState last) {
        List<RouterName> others = otherHomes(service.name());
        if (others.isEmpty()) {
            return;
        }
        int fanOut = fanOut(others.size());
        int rotation = (others.size() + fanOut - 1) / fanOut;
        service.setExchangeRotation(rotation);
        boolean isFull = last.exchanges % (FULL_EXCHANGE_PERIODS * rotation) < rotation || !others.equals(last.others);
        service.ledger().countExchange();
        ServiceExchange exchange = createExchange(service, isFull ? Integer.MAX_VALUE : rotation);
        boolean isUnchanged = exchange.shares().isEmpty() && last.matches(exchange);
        last.sentAt = context.now();
        last.exchanges++;
        last.shareCount = exchange.shares().size();
        if (isUnchanged && rotation == 1) {
            return;
        }
        last.freeSlots = exchange.freeSlots();
        last.waitingRequests = exchange.waitingRequests();
        last.headVirtualTime = exchange.headVirtualTime();
        last.others = others;
        int start = (int) ((long) last.exchanges * fanOut % others.size());
        for (int step = 0; step < fanOut; step++) {
            RouterName receiver = others.get((start + step) % others.size());
            context.addAction(new DecisionAction.SendExchange(receiver, exchange));
        }
    }

    private ServiceExchange createExchange(ServiceState service, int changedWithin) {
        sequence++;
        return new ServiceExchange(
                context.self(),
                context.identity().incarnation(),
                sequence,
                service.name(),
                service.pool().freeSlots(context.now()),
                service.queue().size(),
                service.queue().headVirtualTime(),
                service.ledger().shares(service.queue().sizes(), changedWithin));
    }

    /**
     * The number of other homes that receive one exchange; the others follow in rotation, so that all services together
     * stay within the byte budget.
     */
    private int fanOut(int others) {
        double wanted = 0;
        for (ServiceState service : home.services()) {
            SentState last = sentStates.get(service.name());
            int shareCount = last == null ? 0 : last.shareCount;
            wanted += otherHomes(service.name()).size() * (double) (EXCHANGE_BASE_BYTES + SHARE_BYTES * shareCount);
        }
        double budget =
                BUDGET_BYTES_PER_SECOND * context.traits().exchangePeriod().toMillis() / MILLISECONDS_PER_SECOND;
        double fraction = Math.min(1, budget / Math.max(1, wanted));
        return Math.max(1, (int) Math.round(others * fraction));
    }

    private List<RouterName> otherHomes(ServiceName service) {
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

    /** Requests the counters of all other routers, as a new router has none to order workspaces by. */
    void requestCounters() {
        if (!context.traits().exchangesState()) {
            return;
        }
        for (RouterName router : context.view().members().keySet()) {
            if (!router.equals(context.self())) {
                context.addAction(new DecisionAction.RequestCounters(router));
            }
        }
    }

    void sendCounters(RouterName requester) {
        for (ServiceState service : home.services()) {
            CounterSnapshot snapshot = service.ledger().snapshot(service.name());
            if (!snapshot.charges().isEmpty()) {
                context.addAction(new DecisionAction.SendCounters(requester, snapshot));
            }
        }
    }

    void received(CounterSnapshot snapshot) {
        home.service(snapshot.service()).ledger().merge(snapshot);
    }

    /** Removes the states of routers that are no longer homes. */
    void reassign() {
        for (ServiceState service : home.services()) {
            peers.retainHomes(service.name(), context.assignment().homesOf(service.name()));
        }
    }
}
