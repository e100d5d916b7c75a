package org.mangowall.kernel.plugin;

/** A part that registers itself with {@link java.util.ServiceLoader} and is chosen by name in settings. */
public interface Plugin {

    /** The name by which settings choose this plug-in; unique among plug-ins of its kind. */
    String pluginName();
}
