/** Plug-ins and a registry that finds them by name. */
package org.mangowall.kernel.plugin;
