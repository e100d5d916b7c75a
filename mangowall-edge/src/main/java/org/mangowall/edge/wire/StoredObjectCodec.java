package org.mangowall.edge.wire;

import java.util.Optional;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;

/** The content of the objects in the platform's store. */
public interface StoredObjectCodec {

    /** Decodes the configuration; empty when the object holds none. */
    Optional<RouteTable> configuration(StoredObject object);

    /** Decodes a runner; empty when the entry names no runner that can be used. */
    Optional<RunnerEntry> runner(StoredObject object);

    /** Decodes a host; empty when it can't be read. */
    Optional<HostRecord> host(StoredObject object);

    /** Encodes a host. */
    byte[] hostContent(HostRecord host);
}
