package org.mangowall.edge.wire;

import java.util.Optional;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.edge.model.RunnerEntry;

/** The format of the objects in the platform's store. */
public interface StoredObjectCodec {

    /** Decodes the configuration; empty if the object contains no valid one. */
    Optional<RouteTable> configuration(StoredObject object);

    /** Decodes a runner; empty if the object describes no usable runner. */
    Optional<RunnerEntry> runner(StoredObject object);

    /** Decodes a host; empty if the object is malformed. */
    Optional<HostRecord> host(StoredObject object);

    /** Encodes a host. */
    byte[] hostContent(HostRecord host);
}
