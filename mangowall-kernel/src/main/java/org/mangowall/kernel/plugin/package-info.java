/** The registry in which plug-ins announce themselves by name. */
package org.mangowall.kernel.plugin;
