package org.mangowall.router.runner;

import org.mangowall.inventory.Service;

/** Protocol of plain services: each call costs one unit. */
public final class PlainProtocol implements RunnerProtocol {

    private static final double CALL_COST = 1.0;

    @Override
    public String pluginName() {
        return "plain";
    }

    @Override
    public CostMeter meter(Service service, AnswerHead head) {
        return head.isEventStream() ? new EventStreamMeter(head.isDelimited()) : new CallMeter();
    }

    /** Meters an answer whose format is unknown. */
    private static final class CallMeter implements CostMeter {

        @Override
        public void accept(byte[] bytes) {
            // The content does not affect the cost.
        }

        @Override
        public double cost() {
            return CALL_COST;
        }

        @Override
        public boolean isComplete() {
            return true;
        }
    }

    /** Meters a stream of server-sent events. */
    private static final class EventStreamMeter implements CostMeter {

        private final boolean isDelimited;
        private final EventBoundary boundary = new EventBoundary();

        EventStreamMeter(boolean isDelimited) {
            this.isDelimited = isDelimited;
        }

        @Override
        public void accept(byte[] bytes) {
            boundary.accept(bytes);
        }

        @Override
        public double cost() {
            return CALL_COST;
        }

        @Override
        public boolean isComplete() {
            return !boundary.isInsideEvent() && (isDelimited || boundary.hasEvents());
        }
    }
}
