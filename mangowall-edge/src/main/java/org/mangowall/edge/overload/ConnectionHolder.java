package org.mangowall.edge.overload;

/** Who holds a connection of a caller. */
public sealed interface ConnectionHolder {

    /**
     * The workspace of the connection's last request.
     *
     * @param name the name of the workspace
     */
    record Workspace(String name) implements ConnectionHolder {}

    /**
     * The caller's address, as long as no request has named a workspace.
     *
     * @param host the address without the port
     */
    record Address(String host) implements ConnectionHolder {}
}
