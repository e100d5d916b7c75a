package org.mangowall.kernel.plugin;

import java.util.Collections;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * The plug-ins of one kind on the class path, by name.
 *
 * @param <T> the interface that plug-ins of the kind implement
 */
public final class PluginRegistry<T extends Plugin> {

    private final String kindName;
    private final Map<String, T> plugins;

    private PluginRegistry(String kindName, Map<String, T> plugins) {
        this.kindName = kindName;
        this.plugins = plugins;
    }

    /**
     * Loads all plug-ins of a kind with {@link ServiceLoader}.
     *
     * @throws MangowallException with {@link FailureCode#INTERNAL} when two plug-ins have the same name
     */
    public static <T extends Plugin> PluginRegistry<T> load(Class<T> kind) {
        Map<String, T> plugins = new TreeMap<>();
        for (T plugin : ServiceLoader.load(kind)) {
            T previous = plugins.put(plugin.pluginName(), plugin);
            if (previous != null) {
                throw new MangowallException(
                        FailureCode.INTERNAL, "two plug-ins are named '" + plugin.pluginName() + "'");
            }
        }
        return new PluginRegistry<>(kind.getSimpleName(), plugins);
    }

    /**
     * Finds a plug-in.
     *
     * @throws MangowallException with {@link FailureCode#PLUGIN_UNKNOWN} when none has the name
     */
    public T find(String pluginName) {
        T plugin = plugins.get(pluginName);
        if (plugin == null) {
            throw new MangowallException(
                    FailureCode.PLUGIN_UNKNOWN,
                    "no " + kindName + " is named '" + pluginName + "'; there are " + names());
        }
        return plugin;
    }

    /** The names of all plug-ins of the kind. */
    public SortedSet<String> names() {
        return Collections.unmodifiableSortedSet(new TreeSet<>(plugins.keySet()));
    }
}
