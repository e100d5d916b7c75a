package org.mangowall.router.runner;

import org.mangowall.inventory.Service;

/** Model engines: the cost is in the usage that they report, and in the tokens that were streamed until then. */
public final class ModelProtocol implements RunnerProtocol {

    private static final int STATUS_OK = 200;

    @Override
    public String pluginName() {
        return "model";
    }

    @Override
    public CostMeter meter(Service service, int status, String contentType) {
        if (contentType.startsWith("text/event-stream")) {
            return new StreamCostMeter(service, status == STATUS_OK);
        }
        return new DocumentCostMeter(service);
    }
}
