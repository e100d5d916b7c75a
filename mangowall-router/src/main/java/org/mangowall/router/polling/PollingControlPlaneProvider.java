package org.mangowall.router.polling;

import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;
import org.mangowall.router.spi.ControlPlaneProvider;

/** Provides the control plane that settings select as {@code polling}. */
public final class PollingControlPlaneProvider implements ControlPlaneProvider {

    @Override
    public String pluginName() {
        return "polling";
    }

    @Override
    public ControlPlane create(ControlContext context) {
        return new PollingControlPlane(context);
    }
}
