package org.mangowall.inventory.checked;

import java.net.InetSocketAddress;

/**
 * An IP address with a TCP port.
 *
 * @param host an IPv4 or IPv6 address, without brackets
 * @param port the port; 0 lets the operating system choose one
 */
public record HostAndPort(String host, int port) {

    /** Converts the address for use with sockets. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        if (host.indexOf(':') >= 0) {
            return "[" + host + "]:" + port;
        }
        return host + ":" + port;
    }
}
