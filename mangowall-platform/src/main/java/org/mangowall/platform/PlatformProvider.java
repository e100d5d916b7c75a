package org.mangowall.platform;

import org.mangowall.kernel.plugin.Plugin;

/** A plug-in that creates clients for one kind of platform. */
public interface PlatformProvider extends Plugin {

    /** Creates a client without making a call. */
    PlatformClient open(PlatformSettings settings);
}
