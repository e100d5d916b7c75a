package org.mangowall.router.runner;

import org.mangowall.inventory.Service;

/** Protocol of plain services: each call costs one unit. */
public final class PlainProtocol implements RunnerProtocol {

    private static final CostMeter ONE_CALL = new CostMeter() {
        @Override
        public void accept(byte[] bytes) {
            // The content does not affect the cost.
        }

        @Override
        public double cost() {
            return 1.0;
        }

        @Override
        public boolean isComplete() {
            return true;
        }
    };

    @Override
    public String pluginName() {
        return "plain";
    }

    @Override
    public CostMeter meter(Service service, int status, String contentType) {
        return ONE_CALL;
    }
}
