package org.mangowall.router.control;

import org.mangowall.router.spi.ControlContext;
import org.mangowall.router.spi.ControlPlane;
import org.mangowall.router.spi.ControlPlaneProvider;

/** Provides the control plane that settings select as {@code membership}. */
public final class MembershipControlPlaneProvider implements ControlPlaneProvider {

    @Override
    public String pluginName() {
        return "membership";
    }

    @Override
    public ControlPlane create(ControlContext context) {
        return new MembershipControlPlane(context);
    }
}
