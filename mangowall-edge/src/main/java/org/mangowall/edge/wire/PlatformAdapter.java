package org.mangowall.edge.wire;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoop;
import org.mangowall.kernel.plugin.Plugin;

/** A plug-in by which a fleet runs on a platform; settings choose it by name. */
public interface PlatformAdapter extends Plugin {

    /** The messages between callers, hosts and runners. */
    HttpMessageCodec messages();

    /** The calls by which callers find the fleet. */
    DirectoryCodec directory();

    /** The content of stored objects. */
    StoredObjectCodec objects();

    /** Makes a client of the platform's store that runs on a thread of the data path. */
    ObjectStoreClient connect(InetSocketAddress store, EventLoop loop);
}
