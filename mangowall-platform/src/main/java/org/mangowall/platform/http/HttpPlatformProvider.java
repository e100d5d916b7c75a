package org.mangowall.platform.http;

import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformProvider;
import org.mangowall.platform.PlatformSettings;

/** Creates clients of the platform's HTTP API. */
public final class HttpPlatformProvider implements PlatformProvider {

    @Override
    public String pluginName() {
        return "http";
    }

    @Override
    public PlatformClient open(PlatformSettings settings) {
        return new HttpPlatformClient(settings);
    }
}
