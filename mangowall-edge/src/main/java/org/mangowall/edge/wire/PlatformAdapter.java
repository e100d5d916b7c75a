package org.mangowall.edge.wire;

import java.net.InetSocketAddress;

import io.netty.channel.EventLoop;
import org.mangowall.kernel.plugin.Plugin;

/** A plug-in that integrates a fleet with a platform; the settings select it by name. */
public interface PlatformAdapter extends Plugin {

    /** The format of the messages between callers, hosts and runners. */
    HttpMessageCodec messages();

    /** The format of the calls by which callers find the fleet's hosts. */
    DirectoryCodec directory();

    /** The format of the objects in the platform's store. */
    StoredObjectCodec objects();

    /** Creates a client of the platform's store that runs on the event loop of the data path. */
    ObjectStoreClient connect(InetSocketAddress store, EventLoop loop);
}
