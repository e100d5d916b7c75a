package org.mangowall.router.spi;

import org.mangowall.kernel.plugin.Plugin;

/** A plug-in that makes control planes; settings choose it by name. */
public interface ControlPlaneProvider extends Plugin {

    /** Makes the control plane of a router; it is started later. */
    ControlPlane create(ControlContext context);
}
