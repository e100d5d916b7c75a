package org.mangowall.kernel.plugin;

/** An extension that is loaded with {@link java.util.ServiceLoader} and selected by name in the settings. */
public interface Plugin {

    /** The name that selects this plug-in in the settings; unique among plug-ins of its kind. */
    String pluginName();
}
