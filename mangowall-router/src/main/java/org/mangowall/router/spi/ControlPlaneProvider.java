package org.mangowall.router.spi;

import org.mangowall.kernel.plugin.Plugin;

/** Plug-in that creates control planes; the settings select it by name. */
public interface ControlPlaneProvider extends Plugin {

    /** Creates the control plane of a router without starting it. */
    ControlPlane create(ControlContext context);
}
