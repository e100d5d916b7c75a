/** The client of the platform's object API and of its list of hosts. */
package org.mangowall.platform;
