package org.mangowall.platform;

import org.mangowall.kernel.plugin.Plugin;

/** A plug-in that opens clients of one kind of platform. */
public interface PlatformProvider extends Plugin {

    /** Opens a client; no call is made yet. */
    PlatformClient open(PlatformSettings settings);
}
